// Read-copy-update and the dispatcher with several threads; also run under ThreadSanitizer.
#include "chicoryrouter/dispatcher.h"
#include "chicoryrouter/rcu_cell.h"
#include "support/tables.h"

#include <criterion/criterion.h>

#include <thread>

using namespace chicoryrouter;
using namespace chicoryrouter::test;

Test(rcu, readers_see_whole_values_and_never_an_older_one)
{
    struct pair
    {
        std::uint64_t first = 0;
        std::uint64_t second = 0;
    };
    rcu_cell<pair> cell;
    std::atomic<bool> stop{false};
    std::atomic<int> broken{0};
    std::vector<std::thread> readers;
    for (int i = 0; i < 4; ++i) {
        readers.emplace_back([&] {
            std::uint64_t last = 0;
            while (!stop) {
                const pair &seen = cell.read();
                broken += seen.first != seen.second || seen.first < last ? 1 : 0;
                last = seen.first;
            }
        });
    }
    for (std::uint64_t i = 1; i <= 20000; ++i) {
        cell.publish(std::make_shared<pair>(pair{i, i}));
    }
    stop = true;
    for (std::thread &reader : readers) {
        reader.join();
    }
    cr_assert_eq(broken.load(), 0);
    cr_assert_eq(cell.read().first, 20000);
}

Test(rcu, two_cells_on_one_thread_do_not_mix)
{
    rcu_cell<int> one(std::make_shared<int>(1));
    rcu_cell<int> two(std::make_shared<int>(2));
    for (int i = 0; i < 3; ++i) {
        cr_assert_eq(one.read(), 1);
        cr_assert_eq(two.read(), 2);
    }
}

Test(dispatcher, threads_together_never_hold_more_than_the_slots)
{
    dispatcher slots;
    auto table = std::make_shared<routing_table>();
    table->services.push_back(makeTable(4, 3));
    slots.publish(table);
    std::atomic<int> held{0};
    std::atomic<int> most{0};
    std::atomic<std::uint64_t> tickets{0};
    std::vector<std::thread> threads;
    for (std::uint64_t t = 0; t < 4; ++t) {
        threads.emplace_back([&, t] {
            seeded_random random(t);
            for (int i = 0; i < 5000; ++i) {
                slot_request wanted;
                wanted.ticket = ++tickets;
                wanted.service = "writer";
                wanted.account = "a";
                const slot_answer answer = slots.acquire(wanted, random);
                if (answer.result == slot_answer::outcome::Granted) {
                    const int now = ++held;
                    int before = most;
                    while (now > before && !most.compare_exchange_weak(before, now)) {
                    }
                    --held;
                    answer.target->load->release();
                } else if (answer.result == slot_answer::outcome::Queued) {
                    slots.withdraw("writer", wanted.ticket);
                }
                for (const served_ticket &served : slots.serveWaiting("writer", noDeadline - std::chrono::seconds(1), random)) {
                    if (served.answer.result == slot_answer::outcome::Granted) {
                        served.answer.target->load->release();
                    }
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    cr_assert_leq(most.load(), 12);
    for (const endpoint_ptr &item : table->services[0].groups[0].local) {
        cr_assert_eq(item->load->inFlight.load(), 0, "%s keeps %u", item->id.c_str(), item->load->inFlight.load());
    }
}

Test(dispatcher, a_freed_slot_goes_to_the_one_who_waits)
{
    dispatcher slots;
    auto table = std::make_shared<routing_table>();
    table->services.push_back(makeTable(1, 1));
    slots.publish(table);
    seeded_random random(1);
    slot_request first;
    first.ticket = 1;
    first.service = "writer";
    first.account = "a";
    first.waitUntil = noDeadline;
    slot_request second = first;
    second.ticket = 2;
    const slot_answer granted = slots.acquire(first, random);
    cr_assert_eq(granted.result, slot_answer::outcome::Granted);
    cr_assert_eq(slots.acquire(second, random).result, slot_answer::outcome::Queued);
    cr_assert(slots.serveWaiting("writer", time_point{}, random).empty());
    granted.target->load->release();
    const auto served = slots.serveWaiting("writer", time_point{}, random);
    cr_assert_eq(served.size(), 1);
    cr_assert_eq(served[0].ticket, 2);
    cr_assert_not(slots.withdraw("writer", 2));
}

Test(dispatcher, an_unknown_service_is_refused)
{
    dispatcher slots;
    seeded_random random(1);
    slot_request wanted;
    wanted.service = "nothing";
    const slot_answer answer = slots.acquire(wanted, random);
    cr_assert_eq(answer.result, slot_answer::outcome::Refused);
    cr_assert_eq(answer.kind, error_kind::NoEndpoint);
}
