// Reports of usage windows while their leader is paused, killed or started again: all reports of one window are the same.
#include "support/process_deployment.h"

#include <criterion/criterion.h>

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::daemon_process;
using test::eventually;
using test::process_deployment;

namespace {

// Three daemons and a caller who asks each of them all the time.
class reporting_deployment : public process_deployment
{
public:
    reporting_deployment()
    {
        for (const char *name : {"entry-1", "entry-2", "entry-3"}) {
            addRouter(name).start();
        }
        for (const auto &item : processes) {
            cr_assert(serves(*item));
        }
        m_caller = std::thread([this] {
            for (int number = 0; !m_ending; ++number) {
                callOn(*processes[static_cast<std::size_t>(number) % processes.size()], "GET", "/look/1", "look" + std::to_string(number));
                std::this_thread::sleep_for(10ms);
            }
        });
        waitForReports(2);
    }

    ~reporting_deployment()
    {
        m_ending = true;
        m_caller.join();
    }

    // Until so many further windows have been reported.
    void waitForReports(std::size_t count)
    {
        const std::size_t wanted = reportedWindows() + count;
        cr_assert(eventually([&] { return reportedWindows() >= wanted; }), "%zu windows are reported, not %zu", reportedWindows(), wanted);
    }

    daemon_process &leader()
    {
        const std::string holder = store.value("chicory/leader");
        for (const auto &item : processes) {
            if (item->own().instance == holder) {
                return *item;
            }
        }
        cr_assert(false, "no leader");
        return *processes.front();
    }

    // Fails if two reports of one window differ, or if an order of an earlier leader follows one of a later.
    void checkCalls()
    {
        std::map<std::uint64_t, nlohmann::json> reports;
        std::uint64_t newest = 0;
        std::set<std::uint64_t> tokens;
        for (const duty_call &call : cloud.calls()) {
            tokens.insert(call.fencing);
            cr_expect_geq(call.fencing, newest, "%s of %s under token %lu after token %lu", call.path.c_str(), call.holder.c_str(),
                static_cast<unsigned long>(call.fencing), static_cast<unsigned long>(newest));
            newest = std::max(newest, call.fencing);
            if (call.path == "/usage") {
                const auto [place, fresh] = reports.try_emplace(call.body.at("Window").get<std::uint64_t>(), call.body.at("Counts"));
                cr_expect(fresh || place->second == call.body.at("Counts"), "window %lu: %s and %s", static_cast<unsigned long>(place->first),
                    place->second.dump().c_str(), call.body.at("Counts").dump().c_str());
            }
        }
        cr_expect_gt(tokens.size(), 1, "the leader never changed");
    }

private:
    std::size_t reportedWindows()
    {
        std::set<std::uint64_t> windows;
        for (const duty_call &call : cloud.calls()) {
            if (call.path == "/usage") {
                windows.insert(call.body.at("Window").get<std::uint64_t>());
            }
        }
        return windows.size();
    }

    std::atomic<bool> m_ending{false};
    std::thread m_caller;
};

} // namespace

Test(usage_reports, a_leader_that_is_paused_past_its_lease_and_goes_on_reports_nothing_else, .timeout = 120)
{
    reporting_deployment all;
    for (int round = 0; round < 3; ++round) {
        daemon_process &paused = all.leader();
        paused.pause();
        all.waitForReports(1 + static_cast<std::size_t>(round % 2));
        paused.resume();
        all.waitForReports(2);
    }
    all.checkCalls();
}

// The record is in the store; its leader knows nothing of it and is gone before the watch tells.
Test(usage_reports, a_report_recorded_by_a_leader_that_never_heard_so_is_sent_as_recorded, .timeout = 120)
{
    reporting_deployment all;
    for (int round = 0; round < 3; ++round) {
        daemon_process &lost = all.leader();
        const std::string before = all.store.value("chicory/report");
        all.store.faults.loseReplies = 1;
        cr_assert(eventually([&all, &before] { return all.store.value("chicory/report") != before; }));
        lost.kill();
        all.store.faults.loseReplies = 0;
        all.waitForReports(2);
        lost.start();
        cr_assert(all.serves(lost));
        all.waitForReports(1);
    }
    all.checkCalls();
}

Test(usage_reports, a_leader_that_is_started_again_within_its_lease_reports_nothing_else, .timeout = 120)
{
    reporting_deployment all;
    for (int round = 0; round < 3; ++round) {
        daemon_process &again = all.leader();
        again.kill();
        again.start();
        again.kill();
        again.start();
        cr_assert(all.serves(again));
        all.waitForReports(2);
    }
    all.checkCalls();
}
