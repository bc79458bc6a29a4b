// Version moves that have seconds only: a good version gets there in time, a bad one is condemned after few bad answers.
#include "chicoryrouter/random.h"
#include "chicoryrouter/routing_table.h"
#include "chicoryrouter/version_mover.h"

#include <criterion/criterion.h>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours(1000)};

struct behaviour
{
    double failing = 0.0; // part of the new version's answers that fail
    int slower = 1;       // times the usual latency
    bool onOneRoute = false;
};

struct outcome
{
    move_state state = move_state::Waiting;
    time_point decidedAt = noDeadline;
    unsigned exposed = 0; // requests sent to the new version
    unsigned bad = 0;     // answers of it that failed or were slow
    unsigned all = 0;
};

// A hundred requests a second on three routes for twelve seconds.
outcome play(const behaviour &fresh, std::uint64_t seed)
{
    version_move facts;
    facts.service = "writer";
    facts.to = "v2";
    facts.lasts = 12s;
    facts.order = 17;
    version_mover mover(facts);
    evidence_book book(1);
    seeded_random random(seed);
    const std::array<std::string, 3> routes = {"draft", "chat", "tag"};
    outcome result;
    for (time_point now = start; now < start + 14s; now += 10ms) {
        const std::string &route = routes.at(uniformBelow(random, 3));
        const bool toNew = uniformBelow(random, wholeShare) < mover.share();
        const bool affected = toNew && (!fresh.onOneRoute || route == "chat");
        const bool fails = chance(random, affected ? fresh.failing : 0.01);
        const duration usual = 50ms + std::chrono::milliseconds(uniformBelow(random, 60));
        book.record({mover.id(), toNew ? "v2" : "", route}, fails, usual * (affected ? fresh.slower : 1));
        ++result.all;
        result.exposed += toNew ? 1 : 0;
        result.bad += affected && (fails || fresh.slower > 1) ? 1 : 0;
        mover.update(book, {40, 4, 64}, now);
        if (const std::optional<move_verdict> verdict = mover.wantedVerdict()) {
            mover.onVerdict(*verdict);
            result.decidedAt = now;
        }
    }
    result.state = mover.state();
    return result;
}

} // namespace

Test(short_moves, a_good_version_is_in_charge_before_the_time_set)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const outcome result = play({}, seed);
        cr_assert_eq(result.state, move_state::Done, "seed %lu", static_cast<unsigned long>(seed));
        cr_assert_leq(result.decidedAt, start + 12s);
    }
}

Test(short_moves, a_bad_version_is_taken_back_within_its_allowance)
{
    const std::array<behaviour, 3> kinds = {{{0.5, 1, false}, {0.0, 6, false}, {0.7, 1, true}}};
    for (const behaviour &kind : kinds) {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const outcome result = play(kind, seed);
            cr_assert_eq(result.state, move_state::TakenBack, "failing %f slower %d seed %lu", kind.failing, kind.slower, static_cast<unsigned long>(seed));
            cr_assert_leq(result.exposed, result.all / 10 + 50, "exposed %u, seed %lu", result.exposed, static_cast<unsigned long>(seed));
        }
    }
}

Test(short_moves, every_daemon_names_a_move_of_one_order_alike)
{
    version_move first;
    first.service = "writer";
    first.to = "v2";
    first.lasts = 12s;
    first.order = 17;
    version_move later = first;
    later.startAt = start + 5s;
    version_move again = first;
    again.order = 18;
    cr_assert_eq(moveId(first), moveId(later));
    cr_assert_neq(moveId(first), moveId(again));
}

// All daemons were killed and started anew, or the one that decides was replaced: what was promised by a moment is not promised anew.
Test(short_moves, a_daemon_that_starts_in_the_midst_of_a_move_ends_it_at_the_time_set)
{
    version_move facts;
    facts.service = "writer";
    facts.to = "v2";
    facts.lasts = 12s;
    facts.order = 17;
    facts.begunAt = start;
    const evidence_book none(1);
    version_mover late(facts);
    late.update(none, {40, 4, 64}, start + 8s);
    cr_assert_eq(late.state(), move_state::Moving);
    late.update(none, {40, 4, 64}, start + 12s);
    cr_assert(late.wantedVerdict() == move_verdict::TakenBack);
    facts.begunAt = start + 20s; // by a clock that is ahead
    version_mover ahead(facts);
    ahead.update(none, {40, 4, 64}, start + 8s);
    ahead.update(none, {40, 4, 64}, start + 19s);
    cr_assert_not(ahead.wantedVerdict());
    ahead.update(none, {40, 4, 64}, start + 20s);
    cr_assert(ahead.wantedVerdict() == move_verdict::TakenBack);
}
