// A fault soak: real routers as processes of their own on loopback, callers that never let go, and faults from outside that come in
// series and overlap. What callers and endpoints see is held against the promises. Machines' clocks cannot be stepped for one process
// from outside, so pauses stand for them here.
#include "soak/callers.h"
#include "soak/disturber.h"

#include "chicoryrouter/retry_budget.h"
#include "programs/program.h"

#include <filesystem>

DEFINE_string(router, "build/chicoryrouterd", "the router's program");
DEFINE_string(former, "", "a former build of it: each start of a router takes the other build in turn");
DEFINE_bool(former_first, true, "with --former: all begin with that build");
DEFINE_bool(returns, false, "the store comes back from an older copy, too");
DEFINE_uint64(from, 1, "first seed");
DEFINE_uint64(seeds, 1, "so many seeds, one after the other");
DEFINE_double(minutes, 0.0, "begin no further seed after so many minutes; 0: no limit");
DEFINE_double(seconds, 12.0, "faults come for so long in each seed");
DEFINE_uint64(routers, 4, "processes of the router");
DEFINE_uint64(callers, 8, "threads that call");

namespace chicoryrouter::soak {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t services = 2; // each start of a router begins with a reserve of retries for each

bool allServe(stage &all)
{
    bool good = true;
    for (std::size_t i = 0; i < all.routers.size(); ++i) {
        if (!serves(all, i)) {
            std::cout << "  router " << i + 1 << " does not serve\n";
            good = false;
        }
    }
    return good;
}

bool playSeed(std::uint64_t seed)
{
    const std::string folder = "/tmp/chicory-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed);
    fs::create_directories(folder);
    ledger seen;
    std::vector<std::string> faults;
    duration mixed{}; // both builds were running
    std::size_t returns = 0;
    std::size_t duties = 0;
    bool good = true;
    {
        stage all({FLAGS_router, FLAGS_former, FLAGS_former_first}, FLAGS_routers, folder);
        for (std::size_t i = 0; i < all.routers.size(); ++i) {
            all.start(i);
        }
        if (!FLAGS_former.empty() && allServe(all)) {
            all.routers[0]->kill(); // the first one is replaced before callers come: both builds from the beginning
            all.start(0);
        }
        good = allServe(all);
        std::atomic<bool> stopping{false};
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < FLAGS_callers; ++i) {
            callers.emplace_back([&, i] { callOn(all, seen, stopping, seed, i); });
        }
        disturber faultsOf(all, seen, seed, FLAGS_returns);
        faultsOf.run(std::chrono::duration_cast<duration>(std::chrono::duration<double>(FLAGS_seconds)));
        good = allServe(all) && !faultsOf.failed() && good;
        std::this_thread::sleep_for(1s);
        stopping = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
        for (const auto &item : all.routers) {
            if (!item->runs()) {
                faults.push_back(item->own().instance + " ended by itself, " + test::describeEnd(item->endedWith()));
            }
        }
        std::vector<hosted_endpoint *> endpoints;
        for (const auto &item : all.endpoints) {
            endpoints.push_back(&item->endpoint);
        }
        const std::size_t starts = [&all] {
            std::size_t sum = 0;
            for (const auto &item : all.incarnations) {
                sum += item;
            }
            return sum;
        }();
        seen.add(call_record{"ready", call_kind::Look, "/look/ready", 0, 0, 0, {}, {}, 503, true, {}, {}, false}); // the ones that asked whether all serve
        const std::vector<std::string> found
            = seen.faults(endpoints, all.cloud.calls(), starts * services * static_cast<std::size_t>(retry_budget::defaultReserve), knownWithin);
        faults.insert(faults.end(), found.begin(), found.end());
        mixed = faultsOf.mixed();
        returns = faultsOf.returns();
        duties = all.cloud.calls().size();
    }
    good = good && faults.empty();
    std::cout << "seed " << seed << ": " << seen.size() << " requests, " << seen.answered() << " answered whole, " << duties << " calls of duty, " << returns
              << " returns, both builds for " << mixed / 1ms << " ms, " << (good ? "good" : "WRONG") << std::endl;
    for (std::size_t i = 0; i < faults.size() && i < 12; ++i) {
        std::cout << "  " << faults[i] << "\n";
    }
    if (good) {
        fs::remove_all(folder);
    } else {
        std::cout << "  " << faults.size() << " faults; logs are kept in " << folder << std::endl;
    }
    return good;
}

} // namespace
} // namespace chicoryrouter::soak

int main(int argc, char **argv)
{
    using namespace chicoryrouter;
    startProgram(argc, argv,
        "runs routers as processes on loopback under faults and checks what callers and endpoints see.\nExit code: 0 all good, 1 something was wrong.");
    signal(SIGPIPE, SIG_IGN);
    const time_point begun = systemNow();
    int wrong = 0;
    for (std::uint64_t seed = FLAGS_from; seed < FLAGS_from + FLAGS_seeds; ++seed) {
        const double minutes = std::chrono::duration<double>(systemNow() - begun).count() / 60.0;
        if (FLAGS_minutes > 0.0 && minutes >= FLAGS_minutes) {
            break;
        }
        wrong += soak::playSeed(seed) ? 0 : 1;
    }
    std::cout << (wrong == 0 ? "soak: all seeds good\n" : "soak: " + std::to_string(wrong) + " seeds WRONG\n");
    return wrong == 0 ? exitSuccess : exitFailure;
}
