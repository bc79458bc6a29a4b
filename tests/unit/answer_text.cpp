// The pieces of an answer: what is held, what is forgotten, and what both cost.
#include "chicoryrouter/answer_text.h"
#include "chicoryrouter/random.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace chicoryrouter;

namespace {

constexpr std::size_t kibibyte = 1024;

std::string event(std::uint32_t number)
{
    return "id:" + std::to_string(number) + "\n\n";
}

} // namespace

Test(answer_text, pieces_keep_their_positions_when_earlier_ones_are_forgotten)
{
    answer_text answer;
    for (std::uint32_t i = 0; i < 1000; ++i) {
        answer.append(event(i));
        answer.forgetBefore(i < 500 ? i / 2 : i - 3);
    }
    cr_assert_eq(answer.size(), 1000);
    cr_assert_eq(answer.piece(999), event(999));
    cr_assert_eq(answer.piece(997), event(997));
    cr_assert_eq(answer.upTo(998), event(996) + event(997));
    cr_assert(answer.piece(995).empty(), "a forgotten piece has a text");
    cr_assert(answer.piece(1000).empty(), "a piece that never came has a text");
}

// Guards against entries that stay behind for every event that a caller has read.
Test(answer_text, what_a_reader_in_time_has_read_takes_no_memory)
{
    answer_text answer;
    for (std::uint32_t i = 0; i < 4'000'000; ++i) {
        answer.append(event(i));
        if (i % 1000 == 999) {
            answer.forgetBefore(i + 1);
        }
        cr_assert_lt(answer.heldBytes(), 64 * kibibyte);
    }
    cr_assert_eq(answer.size(), 4'000'000);
    cr_assert_eq(answer.heldBytes(), 0);
}

// A reader that is always as far behind: what was forgotten is at most as much again.
Test(answer_text, a_reader_that_stays_behind_holds_little_more_than_it_has_not_read)
{
    answer_text answer;
    constexpr std::uint32_t behind = 10'000;
    for (std::uint32_t i = 0; i < 500'000; ++i) {
        answer.append(event(i));
        answer.forgetBefore(i - std::min(i, behind));
        cr_assert_lt(answer.heldBytes(), 2 * behind * (event(i).size() + sizeof(std::uint64_t)) + 16 * kibibyte);
    }
}

Test(answer_text, the_only_piece_is_taken_without_a_copy)
{
    std::string body(100 * kibibyte, 'b');
    const char *bytes = body.data();
    answer_text answer;
    answer.append(std::move(body));
    const std::string taken = answer.take();
    cr_assert_eq(taken.data(), bytes);
    cr_assert_eq(taken.size(), 100 * kibibyte);
    cr_assert_eq(answer.heldBytes(), 0);
    cr_assert_eq(answer.size(), 1);
}

// Any order of the operations, against a plain list of pieces.
Test(answer_text, any_order_of_operations)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        seeded_random random(seed);
        answer_text answer;
        std::vector<std::string> pieces;
        std::size_t forgotten = 0;
        for (int step = 0; step < 400; ++step) {
            const std::uint64_t drawn = random.next() % 100;
            if (drawn < 70) {
                pieces.emplace_back(random.next() % 300, static_cast<char>('a' + pieces.size() % 26));
                answer.append(std::string(pieces.back()));
            } else if (drawn < 90) {
                const std::size_t upTo = random.next() % (pieces.size() + 2);
                answer.forgetBefore(static_cast<std::uint32_t>(upTo));
                forgotten = std::max(forgotten, std::min(upTo, pieces.size()));
            } else if (drawn < 97) {
                const std::size_t size = forgotten + random.next() % (pieces.size() - forgotten + 1);
                answer.truncate(static_cast<std::uint32_t>(size));
                pieces.resize(size);
            } else {
                std::string held;
                for (std::size_t i = forgotten; i < pieces.size(); ++i) {
                    held += pieces[i];
                }
                cr_assert_eq(answer.take(), held);
                forgotten = pieces.size();
            }
            cr_assert_eq(answer.size(), pieces.size());
            std::string held;
            for (std::size_t i = 0; i < pieces.size(); ++i) {
                cr_assert_eq(answer.piece(static_cast<std::uint32_t>(i)), i < forgotten ? std::string() : pieces[i], "seed %lu, step %d", seed, step);
                held += i < forgotten ? std::string() : pieces[i];
            }
            cr_assert_eq(std::string(answer.upTo(answer.size())), held);
        }
    }
}
