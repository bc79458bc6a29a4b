// Cold endpoints: what all daemons together start there in any second, however many they are and whenever they ask.
#include "chicoryrouter/fleet.h"
#include "chicoryrouter/hash.h"
#include "support/world.h"

#include <criterion/criterion.h>

#include <deque>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

constexpr double bears = 12.0; // requests a second
constexpr double mostInOneSecond = 1.5 * bears + 5.0;
const time_point someday = test::worldStart;

struct cold_world
{
    explicit cold_world(std::size_t daemons)
    {
        auto document = std::make_shared<revisioned_document>(makeRevisioned(1, test::worldDocument()));
        for (service &item : document->content.services) {
            item.anyVersion = true;
            item.coldRequestsPerSecond = bears;
        }
        std::vector<std::uint64_t> members;
        for (std::size_t i = 0; i < daemons; ++i) {
            members.push_back(hashBytes("entry-" + std::to_string(i)));
        }
        for (const std::uint64_t self : members) {
            fleets.push_back(std::make_unique<fleet>("fd-1", self));
            fleets.back()->setDocument(document);
            fleets.back()->setMembers(members);
        }
    }

    void list(time_point coldUntil)
    {
        listAndUseAtOnce(coldUntil);
        tables.clear();
        for (const auto &item : fleets) {
            item->refillPaceTokens(someday);
            tables.push_back(item->buildTable());
        }
    }

    // As list(), but requests come before the next refill of pace tokens.
    void listAndUseAtOnce(time_point coldUntil)
    {
        instance_record record{"e0", "fd-1", instance_class::Reclaimable, "writer", "v1", {"10.0.0.1", 1}};
        record.slots = 1000;
        record.coldUntil = coldUntil;
        for (const auto &item : fleets) {
            item->onInstanceList({record}, someday);
            tables.push_back(item->buildTable());
        }
    }

    // Requests that each daemon may start now.
    std::size_t take(std::size_t daemon) const
    {
        endpoint_load &load = *tables[daemon]->find("writer")->groups[1].local[0]->load;
        std::size_t taken = 0;
        while (taken < 100 && load.tryAcquire()) {
            ++taken;
        }
        return taken;
    }

    std::vector<std::unique_ptr<fleet>> fleets;
    std::vector<std::shared_ptr<const routing_table>> tables;
};

// The most that starts in any second when every daemon takes all it may, from `quietFor` on.
std::pair<std::size_t, std::size_t> startsOf(std::size_t daemons, duration quietFor)
{
    cold_world all(daemons);
    all.list(someday + 10s);
    std::deque<std::size_t> lastSecond(20, 0);
    std::size_t most = 0;
    std::size_t sum = 0;
    for (time_point now = someday; now < someday + 10s; now += 50ms) {
        std::size_t started = 0;
        for (std::size_t i = 0; i < daemons; ++i) {
            all.fleets[i]->refillPaceTokens(now);
            started += now >= someday + quietFor ? all.take(i) : 0;
        }
        sum += started;
        lastSecond.push_back(started);
        lastSecond.pop_front();
        std::size_t inSecond = 0;
        for (const std::size_t item : lastSecond) {
            inSecond += item;
        }
        most = std::max(most, inSecond);
    }
    return {most, sum};
}

} // namespace

Test(cold, all_daemons_together_start_no_more_than_a_cold_endpoint_bears)
{
    for (const std::size_t daemons : {1, 6, 9, 30, 90, 300}) {
        const auto [most, sum] = startsOf(daemons, 0s);
        cr_assert_leq(most, mostInOneSecond, "%zu daemons: %zu in one second", daemons, most);
        cr_assert_geq(sum, static_cast<std::size_t>(bears * 10 * 0.7), "%zu daemons: only %zu in all", daemons, sum);
    }
}

// Daemons that could have sent before and did not must not send all of it in the same second.
Test(cold, what_was_saved_up_in_quiet_is_borne_too)
{
    for (const std::size_t daemons : {6, 30, 90, 300}) {
        const auto [most, sum] = startsOf(daemons, 5s);
        cr_assert_leq(most, mostInOneSecond, "%zu daemons: %zu in one second", daemons, most);
    }
}

Test(cold, an_endpoint_that_is_warm_is_not_paced)
{
    cold_world all(3);
    all.list(someday);
    all.fleets[0]->refillPaceTokens(someday + 50ms);
    cr_assert_eq(all.take(0), 100);
}

// The load: requests wait at every daemon when a cold endpoint appears. Pace tokens are refilled by a timer, so until its next turn nothing paced
// the endpoint: seven daemons sent it 26 requests in 30 ms, and it crashed.
Test(cold, an_endpoint_that_appears_cold_is_paced_from_its_first_request_on)
{
    constexpr std::size_t daemons = 7;
    cold_world all(daemons);
    all.listAndUseAtOnce(someday + 10s);
    std::size_t started = 0;
    for (std::size_t i = 0; i < daemons; ++i) {
        started += all.take(i);
    }
    cr_expect_leq(started, daemons, "%zu requests at once", started);
}
