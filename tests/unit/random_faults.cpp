// Random worlds with fixed seeds: faults of every kind at random moments, and the standing promises checked after each.
#include "support/world.h"

#include <criterion/criterion.h>

using namespace chicoryrouter;
using namespace chicoryrouter::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seedsPerTest = 400;

struct mixture
{
    bool reclaimsOnly = false; // announced reclaims, and nothing else goes wrong
    bool nodeDeaths = false;
    bool cutsAndRestarts = false; // endpoints that start anew under their id, and paths that are silent one way
};

class random_world
{
public:
    random_world(std::uint64_t seed, mixture mix)
        : m_random(seed * 7919)
        , m_mix(mix)
        , m_world(worldDocument(), 2 + uniformBelow(m_random, 2), seed)
        , m_nodes(2)
    {
        build();
        schedule();
    }

    world &run()
    {
        m_world.runUntil(worldStart + 20min);
        return m_world;
    }

private:
    duration someTime(duration most) { return duration(static_cast<std::int64_t>(uniformBelow(m_random, static_cast<std::uint64_t>(most.count())))); }

    void build()
    {
        const char *domains[] = {"fd-1", "fd-2", "fd-3"};
        const std::size_t engines = 3 + uniformBelow(m_random, 4);
        for (std::size_t i = 0; i < engines; ++i) {
            m_endpoints.push_back("e" + std::to_string(i));
            m_world.addEndpoint(m_endpoints.back(), domains[i % 3], "writer");
        }
        for (std::size_t i = 0; i < 3; ++i) {
            m_endpoints.push_back("s" + std::to_string(i));
            m_world.addEndpoint(m_endpoints.back(), domains[i], "shop");
        }
    }

    void schedule()
    {
        const std::size_t requests = 10 + uniformBelow(m_random, 30);
        for (std::size_t i = 0; i < requests; ++i) {
            m_world.at(worldStart + someTime(8s), [this, i] { ask(i); });
        }
        const std::size_t faults = 2 + uniformBelow(m_random, 8);
        for (std::size_t i = 0; i < faults; ++i) {
            m_world.at(worldStart + someTime(10s), [this] { disturb(); });
        }
        if (m_mix.nodeDeaths) {
            m_world.at(worldStart + someTime(8s), [this] { m_world.killNode(1); });
        }
    }

    void ask(std::size_t number)
    {
        const char *routes[] = {"chat", "write-up", "stock", "orders", "notes"};
        const std::string route = routes[uniformBelow(m_random, 5)];
        const std::string id = "r" + std::to_string(number);
        // Every third order repeats an earlier key; now and then with another body.
        const std::string key = route == "orders" ? "k" + std::to_string(uniformBelow(m_random, 3) == 0 ? number / 4 : number) : "";
        const std::string body = uniformBelow(m_random, 10) == 0 ? "other" : "same";
        const std::size_t node = uniformBelow(m_random, m_nodes);
        m_world.ask(id, route, 5 + static_cast<std::uint32_t>(uniformBelow(m_random, 200)), node, key, body);
    }

    void disturb()
    {
        const std::string &endpoint = m_endpoints[uniformBelow(m_random, m_endpoints.size())];
        if (m_mix.reclaimsOnly) {
            reclaimIfOthersStay(endpoint);
            return;
        }
        if (m_mix.cutsAndRestarts && uniformBelow(m_random, 2) == 0) {
            cutOrRestart(endpoint);
            return;
        }
        switch (uniformBelow(m_random, 8)) {
        case 0:
            m_world.crash(endpoint);
            break;
        case 1:
            m_world.notice(endpoint, 1s + someTime(10s));
            break;
        case 2:
            m_world.noticeDomain("fd-2", 1s + someTime(5s));
            break;
        case 3:
            m_world.store.down = true;
            m_world.at(m_world.now() + someTime(3s), [this] { m_world.store.down = false; });
            break;
        case 4:
            m_world.store.loseReplies = 2;
            break;
        case 5:
            m_world.turnCold(endpoint);
            break;
        default: {
            const auto fault = static_cast<endpoint_fault>(1 + uniformBelow(m_random, 10));
            m_world.setFault(endpoint, fault);
            m_world.at(m_world.now() + someTime(4s), [this, endpoint] { m_world.setFault(endpoint, endpoint_fault::None); });
        }
        }
    }

    void cutOrRestart(const std::string &endpoint)
    {
        const char *domains[] = {"fd-1", "fd-2", "fd-3"};
        if (uniformBelow(m_random, 3) == 0) {
            m_world.restart(endpoint, 100ms + someTime(4s));
            return;
        }
        m_world.cut(uniformBelow(m_random, m_nodes), domains[uniformBelow(m_random, 3)], uniformBelow(m_random, 2) == 0, 100ms + someTime(5s));
    }

    // One engine and one shop are never reclaimed, so that there is a place to go.
    void reclaimIfOthersStay(const std::string &endpoint)
    {
        if (endpoint != "e0" && endpoint != "s0") {
            m_world.notice(endpoint, 2s + someTime(10s));
        }
    }

    seeded_random m_random;
    mixture m_mix;
    world m_world;
    std::size_t m_nodes;
    std::vector<std::string> m_endpoints;
};

void checkSeeds(std::uint64_t first, mixture mix)
{
    for (std::uint64_t seed = first; seed < first + seedsPerTest; ++seed) {
        random_world random(seed, mix);
        const world &ended = random.run();
        for (const std::string &fault : ended.faults()) {
            cr_expect_fail("seed %lu: %s", static_cast<unsigned long>(seed), fault.c_str());
        }
        if (!mix.reclaimsOnly) {
            continue;
        }
        for (const auto &[id, request] : ended.requests()) {
            const bool survives = request.answered || !request.accepted;
            cr_expect(survives, "seed %lu: %s was accepted, met only announced reclaims and was not answered", static_cast<unsigned long>(seed), id.c_str());
        }
    }
}

} // namespace

Test(random_faults, any_faults_1)
{
    checkSeeds(1, {});
}

Test(random_faults, any_faults_2)
{
    checkSeeds(1001, {});
}

Test(random_faults, any_faults_3)
{
    checkSeeds(2001, {});
}

Test(random_faults, announced_reclaims_lose_nothing_1)
{
    checkSeeds(3001, {true, false});
}

Test(random_faults, announced_reclaims_lose_nothing_2)
{
    checkSeeds(4001, {true, false});
}

Test(random_faults, entry_instances_die_too)
{
    checkSeeds(5001, {false, true});
}

Test(random_faults, silent_paths_and_restarts_under_the_same_id_1)
{
    checkSeeds(6001, {false, false, true});
}

Test(random_faults, silent_paths_and_restarts_under_the_same_id_2)
{
    checkSeeds(7001, {false, true, true});
}
