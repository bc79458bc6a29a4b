// The platform's store comes back from an older copy: what it acknowledged since is gone, and revisions are given out again. Judged by what
// callers, endpoints, the store and the cloud see. Bounds are generous; only a fault reaches them.
#include "chicoryrouter/store_history.h"
#include "support/small_deployment.h"

#include "shell/clock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;
using nlohmann::json;

using test::eventually;
using test::patience;
using test::small_deployment;

namespace {

constexpr std::uint64_t firstEra = 1; // of the stand-in store
constexpr duration soon = 8s;         // for a change that was written after the return
constexpr duration leaseTerm = 1s;    // see hostedSettings
constexpr int lostRewrites = 40;      // of all four entries, so that revisions go back a good way

// One report of a usage window, as the cloud saw it.
struct usage_call
{
    std::uint64_t window = 0;
    json counts;
    std::string holder;
};

bool within(duration span, const std::function<bool()> &holds)
{
    const time_point until = systemNow() + span;
    while (systemNow() < until) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(5ms);
    }
    return holds();
}

json configurationWith(int version, const std::vector<std::string> &moreRoutes)
{
    json configuration = hostedConfiguration();
    configuration["Version"] = version;
    for (const std::string &name : moreRoutes) {
        configuration["Routes"].push_back({{"Name", name}, {"Host", "tassel.example"}, {"Prefix", "/" + name + "/"}, {"Kind", "idempotent"},
            {"TimeoutMs", 3000}, {"SloMs", 300}, {"Priority", 2}, {"Service", "shop"}, {"MaxAttempts", 2}});
    }
    return configuration;
}

struct returning_deployment : small_deployment
{
    using small_deployment::small_deployment;

    void startIn(const std::string &name, const std::string &domain)
    {
        routers.push_back(std::make_unique<platform::hosted_daemon>(hostedSettings(name, domain, store, &cloud)));
        cr_assert(eventually([this] { return routers.back()->isReady() && routers.back()->usableEndpointCount() >= 4; }), "the daemon did not become ready");
    }

    int askAt(std::size_t daemon, const std::string &method, const std::string &target)
    {
        http_call call;
        call.method = method;
        call.target = target;
        call.headers = {{"Host", "tassel.example"}, {"X-Request-Id", "r" + std::to_string(++requests)}, {"X-Api-Key", "key-1"}, {"X-Deadline-Ms", "10000"}};
        sync_client client;
        return client.callAllowingPartial(routers[daemon]->gateway(), call).response.status;
    }

    void orderEverywhere(int rounds = 1)
    {
        for (int i = 0; i < rounds; ++i) {
            for (std::size_t daemon = 0; daemon < routers.size(); ++daemon) {
                askAt(daemon, "POST", "/order/1");
            }
        }
    }

    void rewriteEntries(int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            for (hosted_endpoint *item : {&writer1, &writer2}) {
                store.put("servers/" + item->id(), item->entry("writer", "west-1", stateOf(*item)));
            }
            for (hosted_endpoint *item : {&shop1, &shop2}) {
                store.put("servers/" + item->id(), item->entry("shop", "west-1", stateOf(*item)));
            }
        }
    }

    // Until all daemons know all that was written before.
    void waitUntilAllKnow()
    {
        const std::string id = "marker-" + std::to_string(++markers);
        store.put("servers/" + id, add(id).entry("writer", "west-1"));
        cr_assert(eventually([&] { return nobody([&](const platform::hosted_daemon &item) { return item.isLeaving(id); }); }), "an entry did not become known");
        store.remove("servers/" + id);
        cr_assert(eventually([&] { return allLeaving(id); }), "a removal did not become known");
    }

    bool nobody(const std::function<bool(const platform::hosted_daemon &)> &holds)
    {
        return std::none_of(routers.begin(), routers.end(), [&](const auto &item) { return holds(*item); });
    }

    bool allLeaving(const std::string &id)
    {
        return nobody([&](const platform::hosted_daemon &item) { return !item.isLeaving(id); });
    }

    void drain(hosted_endpoint &item)
    {
        draining.insert(item.id());
        store.put("servers/" + item.id(), item.entry(item.id().substr(0, item.id().find('-')), "west-1", "draining"));
    }

    [[nodiscard]] std::string stateOf(const hosted_endpoint &item) const { return draining.count(item.id()) > 0 ? "draining" : "ready"; }

    // The store is away for a moment and back as the copy; nobody has written again yet.
    void comeBack(duration away = 500ms)
    {
        store.faults.down = true;
        std::this_thread::sleep_for(away);
        store.comeBackFromCopy();
        store.faults.down = false;
    }

    // As the operator and the endpoints do, shortly after the return.
    void writeAgain(const json &configuration = hostedConfiguration())
    {
        std::this_thread::sleep_for(300ms);
        store.put("op/config", configuration.dump());
        rewriteEntries();
    }

    std::vector<usage_call> usageCalls()
    {
        std::vector<usage_call> all;
        for (const duty_call &call : cloud.calls()) {
            if (call.path == "/usage") {
                all.push_back({call.body.at("Window"), call.body.at("Counts"), call.holder});
            }
        }
        return all;
    }

    std::uint64_t lastWindow()
    {
        std::uint64_t newest = 0;
        for (const usage_call &call : usageCalls()) {
            newest = std::max(newest, call.window);
        }
        return newest;
    }

    // Two daemons, a window reported, the copy, then windows with orders that are reported too: the copy lacks these reports.
    void reportWindowsThatTheCopyLacks()
    {
        startIn("entry-1", "west-1");
        startIn("entry-2", "west-2");
        cr_assert(eventually([&] { return lastWindow() > 0; }), "no window is reported");
        store.takeCopy();
        rewriteEntries(lostRewrites);
        orderEverywhere(5);
        const std::uint64_t ordered = windowNow();
        cr_assert(eventually([&] { return lastWindow() > ordered; }), "the window of the orders is not reported");
        std::uint64_t counted = 0;
        for (const usage_call &call : usageCalls()) {
            counted += call.counts.value("guild", std::uint64_t{0});
        }
        cr_assert_geq(counted, 10, "the orders are not counted");
    }

    static std::uint64_t windowNow() { return static_cast<std::uint64_t>(std::chrono::floor<std::chrono::seconds>(systemNow().time_since_epoch()).count()); }

    // Time for a leader to report what the copy's record lacks, and more.
    void waitForReportsAfterReturn()
    {
        const std::uint64_t back = windowNow();
        within(12s, [&] { return lastWindow() > back; });
    }

    void expectOneReportOfEachWindow()
    {
        std::map<std::uint64_t, usage_call> reports;
        for (const usage_call &call : usageCalls()) {
            const auto [first, fresh] = reports.try_emplace(call.window, call);
            cr_expect(fresh || first->second.counts == call.counts, "window %lu: %s reported %s, and %s later %s", static_cast<unsigned long>(call.window),
                first->second.holder.c_str(), first->second.counts.dump().c_str(), call.holder.c_str(), call.counts.dump().c_str());
        }
    }

    void expectFencingTokensInOrder()
    {
        const std::vector<duty_call> calls = cloud.calls();
        std::map<std::string, std::uint64_t> newest; // by path
        std::map<std::uint64_t, std::string> holders;
        for (const duty_call &call : calls) {
            std::uint64_t &before = newest[call.path];
            cr_expect_geq(call.fencing, before, "%s by %s: token %lu after %lu", call.path.c_str(), call.holder.c_str(),
                static_cast<unsigned long>(call.fencing), static_cast<unsigned long>(before));
            before = std::max(before, call.fencing);
            const auto place = holders.try_emplace(call.fencing, call.holder).first;
            cr_expect(place->second == call.holder, "token %lu is %s's and %s's", static_cast<unsigned long>(call.fencing), place->second.c_str(),
                call.holder.c_str());
        }
        for (std::size_t i = 2; i < calls.size(); ++i) {
            for (std::size_t k = 0; k + 1 < i && calls[i - 1].holder != calls[i].holder; ++k) {
                const bool holdsAgain = calls[k].holder == calls[i].holder;
                cr_expect(!holdsAgain || calls[i].at - calls[k].at >= leaseTerm, "%s acts, then %s, then %s again", calls[k].holder.c_str(),
                    calls[i - 1].holder.c_str(), calls[i].holder.c_str());
            }
        }
    }

    // Orders at all daemons; none may reach the endpoint any more.
    void expectNoWorkAt(hosted_endpoint &item, duration span = 500ms)
    {
        const std::size_t before = item.seen().size();
        const time_point until = systemNow() + span;
        while (systemNow() < until) {
            orderEverywhere();
            std::this_thread::sleep_for(10ms);
        }
        cr_expect_eq(item.seen().size(), before, "%zu requests reached %s", item.seen().size() - before, item.id().c_str());
    }

    int requests = 0;
    int markers = 0;
    std::set<std::string> draining;
};

} // namespace

// ---- Endpoints that leave --------------------------------------------------------------------------------------------------------------

// Its entry was known at a higher revision, from the history that is gone.
Test(store_returns, an_endpoint_that_leaves_after_the_return_gets_no_new_work, .timeout = 60)
{
    returning_deployment all;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.waitUntilAllKnow();
    const std::uint64_t known = all.store.revisionOf("servers/shop-1");
    all.comeBack();
    all.writeAgain();
    all.drain(all.shop1);
    cr_assert_leq(all.store.revisionOf("servers/shop-1"), known);
    cr_expect(within(soon, [&] { return all.allLeaving("shop-1"); }), "an endpoint that leaves is still in use");
    all.expectNoWorkAt(all.shop1);
}

// The daemons ask for changes after a revision that the new history has too, with other changes below it.
Test(store_returns, a_change_below_a_daemons_position_in_the_lost_history_is_not_skipped, .timeout = 60)
{
    returning_deployment all;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(3);
    all.waitUntilAllKnow();
    const std::uint64_t position = all.store.revision();
    all.store.faults.down = true;
    std::this_thread::sleep_for(500ms);
    all.store.comeBackFromCopy();
    all.store.put("op/config", hostedConfiguration().dump());
    all.drain(all.shop1);
    cr_assert_lt(all.store.revision(), position);
    while (all.store.revision() < position + 20) {
        all.store.put("servers/shop-2", all.shop2.entry("shop", "west-1"));
    }
    all.store.faults.down = false;
    cr_expect(within(soon, [&] { return all.allLeaving("shop-1"); }), "an endpoint that leaves is still in use");
    all.expectNoWorkAt(all.shop1);
}

// Leaving is final for an incarnation, also when the copy's entry says that it is ready.
Test(store_returns, an_endpoint_that_began_to_leave_after_the_copy_gets_no_new_work, .timeout = 60)
{
    returning_deployment all;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.drain(all.shop1);
    cr_assert(eventually([&] { return all.allLeaving("shop-1"); }));
    all.expectNoWorkAt(all.shop1, 100ms);
    all.comeBack();
    all.expectNoWorkAt(all.shop1, 1500ms);
    all.writeAgain();
    all.expectNoWorkAt(all.shop1, 1500ms);
}

// They register again within two seconds, and are alive all the time.
Test(store_returns, requests_are_served_while_the_copy_lacks_all_endpoints_of_their_service, .timeout = 60)
{
    returning_deployment all;
    for (const hosted_endpoint *item : {&all.shop1, &all.shop2}) {
        all.store.remove("servers/" + item->id());
    }
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.waitUntilAllKnow();
    all.comeBack();
    std::map<int, int> answers;
    const auto orderFor = [&](duration span) {
        const time_point until = systemNow() + span;
        while (systemNow() < until) {
            ++answers[all.askAt(0, "POST", "/order/1")];
            ++answers[all.askAt(1, "POST", "/order/1")];
            std::this_thread::sleep_for(10ms);
        }
    };
    orderFor(1500ms);
    all.writeAgain();
    orderFor(3s);
    cr_expect_eq(answers.size(), 1, "%d requests were answered 200, %d 503", answers[200], answers[503]);
    cr_expect_gt(answers[200], 0);
}

// ---- Duties ----------------------------------------------------------------------------------------------------------------------------

// The copy's record names an older window: whoever leads next reported the later ones again, by its own counts.
Test(store_returns, a_new_leader_reports_no_window_again_with_other_counts, .timeout = 90)
{
    returning_deployment all;
    all.reportWindowsThatTheCopyLacks();
    const std::string leader = all.usageCalls().back().holder;
    all.comeBack();
    all.writeAgain();
    all.routers.erase(all.routers.begin() + (leader == "entry-1" ? 0 : 1));
    all.startIn(leader, leader == "entry-1" ? "west-1" : "west-2");
    all.waitForReportsAfterReturn();
    all.expectOneReportOfEachWindow();
    all.expectFencingTokensInOrder();
}

// The last daemon that knows of the later reports ends two seconds after the others could hear of them.
Test(store_returns, daemons_that_start_anew_one_by_one_report_no_window_again_with_other_counts, .timeout = 90)
{
    returning_deployment all;
    all.reportWindowsThatTheCopyLacks();
    all.comeBack();
    all.writeAgain();
    for (const auto &[name, domain] : {std::pair("entry-1", "west-1"), std::pair("entry-2", "west-2")}) {
        all.routers.erase(all.routers.begin());
        all.startIn(name, domain);
        std::this_thread::sleep_for(2s);
    }
    all.waitForReportsAfterReturn();
    all.expectOneReportOfEachWindow();
    all.expectFencingTokensInOrder();
}

// Nobody is left who knows of the later reports.
Test(store_returns, daemons_that_all_start_after_the_return_report_no_window_again_with_other_counts, .timeout = 90)
{
    returning_deployment all;
    all.reportWindowsThatTheCopyLacks();
    all.comeBack();
    all.writeAgain();
    all.routers.clear();
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.waitForReportsAfterReturn();
    all.expectOneReportOfEachWindow();
}

Test(store_returns, daemons_that_run_on_report_no_window_again_with_other_counts, .timeout = 90)
{
    returning_deployment all;
    all.reportWindowsThatTheCopyLacks();
    all.comeBack();
    all.writeAgain();
    all.waitForReportsAfterReturn();
    all.expectOneReportOfEachWindow();
}

// The leader's key gets a lower revision than the leader had before; the former lease is gone before its holder knows.
Test(store_returns, fencing_tokens_never_fall_and_name_one_holder, .timeout = 60)
{
    returning_deployment all;
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    cr_assert(eventually([&] { return !all.cloud.calls().empty(); }), "nobody carries the duties");
    const std::size_t before = all.cloud.calls().size();
    all.comeBack();
    all.writeAgain();
    cr_expect(within(12s, [&] { return all.cloud.calls().size() > before + 2; }), "nobody carries the duties after the return");
    all.expectFencingTokensInOrder();
}

// The copy is older than the daemons' first word in the store, and nobody is left who saw the store before its return.
Test(store_returns, fencing_tokens_never_fall_when_all_daemons_start_after_the_return, .timeout = 60)
{
    returning_deployment all;
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.startIn("entry-1", "west-1");
    cr_assert(eventually([&] { return !all.cloud.calls().empty(); }), "nobody carries the duties");
    all.comeBack();
    all.routers.clear();
    all.writeAgain();
    const std::size_t before = all.cloud.calls().size();
    all.startIn("entry-2", "west-2");
    cr_expect(within(12s, [&] { return all.cloud.calls().size() > before; }), "nobody carries the duties after the return");
    all.expectFencingTokensInOrder();
}

// The leader's key is there as it was when the copy was taken, under a lease that lives on.
Test(store_returns, when_leases_of_the_copy_live_on_duties_go_on_and_tokens_never_fall, .timeout = 90)
{
    returning_deployment all;
    all.reportWindowsThatTheCopyLacks();
    const std::string leader = all.usageCalls().back().holder;
    all.routers.erase(all.routers.begin() + (leader == "entry-1" ? 0 : 1));
    const std::size_t before = all.cloud.calls().size();
    cr_assert(eventually([&] {
        const std::vector<duty_call> calls = all.cloud.calls();
        return calls.size() > before && calls.back().holder != leader;
    }),
        "nobody follows the leader");
    all.store.faults.down = true;
    std::this_thread::sleep_for(500ms);
    all.store.comeBackFromCopyWithLeases();
    all.store.faults.down = false;
    all.writeAgain();
    all.drain(all.shop1);
    const std::uint64_t back = all.windowNow();
    cr_expect(within(soon, [&] { return all.allLeaving("shop-1"); }), "an endpoint that leaves is still in use");
    cr_expect(within(15s, [&] { return all.lastWindow() > back; }), "no window is reported after the return");
    all.expectOneReportOfEachWindow();
    all.expectFencingTokensInOrder();
}

// The condition on the lost record's revision never held again.
Test(store_returns, windows_are_reported_again_soon_after_the_return, .timeout = 90)
{
    returning_deployment all;
    all.reportWindowsThatTheCopyLacks();
    all.comeBack();
    all.writeAgain();
    const std::uint64_t back = all.windowNow();
    cr_expect(within(15s, [&] { return all.lastWindow() > back; }), "newest window reported: %ld after the return's",
        static_cast<long>(all.lastWindow()) - static_cast<long>(back));
}

// ---- Configurations --------------------------------------------------------------------------------------------------------------------

Test(store_returns, the_copys_older_configuration_is_not_put_into_force_again, .timeout = 60)
{
    const json newer = configurationWith(2, {"extra"});
    returning_deployment all;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.store.put("op/config", newer.dump());
    const auto knowExtra = [&] {
        for (std::size_t i = 0; i < all.routers.size(); ++i) {
            if (all.askAt(i, "GET", "/extra/1") != 200) {
                return false;
            }
        }
        return true;
    };
    cr_assert(eventually(knowExtra));
    all.comeBack();
    all.startIn("entry-3", "west-2");
    const time_point until = systemNow() + 2s;
    std::map<std::size_t, int> unknown;
    while (systemNow() < until) {
        for (std::size_t i = 0; i < all.routers.size(); ++i) {
            unknown[i] += all.askAt(i, "GET", "/extra/1") == 404 ? 1 : 0;
        }
        std::this_thread::sleep_for(20ms);
    }
    cr_expect_eq(unknown[0] + unknown[1], 0, "%d and %d requests by the older configuration at daemons that run on", unknown[0], unknown[1]);
    cr_expect_eq(unknown[2], 0, "%d requests by the older configuration at the daemon that started", unknown[2]);
    all.writeAgain(newer);
    cr_expect(within(soon, knowExtra), "the operator's newest configuration is not in force");
}

// The lost configuration had a higher revision, and daemons that start take it from the others.
Test(store_returns, a_configuration_written_after_the_return_is_in_force_everywhere, .timeout = 60)
{
    returning_deployment all;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.store.put("op/config", configurationWith(2, {"extra"}).dump());
    cr_assert(eventually([&] { return all.askAt(0, "GET", "/extra/1") == 200 && all.askAt(1, "GET", "/extra/1") == 200; }));
    const std::uint64_t known = all.store.revisionOf("op/config");
    all.comeBack();
    all.writeAgain(configurationWith(2, {"extra"}));
    all.startIn("entry-3", "west-2");
    all.store.put("op/config", configurationWith(3, {"extra", "further"}).dump());
    cr_assert_lt(all.store.revisionOf("op/config"), known);
    for (std::size_t i = 0; i < 3; ++i) {
        cr_expect(within(soon, [&] { return all.askAt(i, "GET", "/further/1") == 200; }), "not in force at entry-%zu", i + 1);
    }
    all.startIn("entry-4", "west-1");
    cr_expect(within(soon, [&] { return all.askAt(3, "GET", "/further/1") == 200; }), "not in force at a daemon that started after it");
}

// ---- Returns beside other trouble ------------------------------------------------------------------------------------------------------

Test(store_returns, after_two_returns_in_a_row_changes_are_known_and_duties_go_on, .timeout = 90)
{
    returning_deployment all;
    all.reportWindowsThatTheCopyLacks();
    all.comeBack(200ms);
    std::this_thread::sleep_for(300ms);
    all.rewriteEntries(2);
    all.comeBack(200ms);
    all.writeAgain(configurationWith(2, {"extra"}));
    all.drain(all.shop1);
    const std::uint64_t back = all.windowNow();
    cr_expect(within(soon, [&] { return all.allLeaving("shop-1"); }), "an endpoint that leaves is still in use");
    all.expectNoWorkAt(all.shop1);
    cr_expect(
        within(soon, [&] { return all.askAt(0, "GET", "/extra/1") == 200 && all.askAt(1, "GET", "/extra/1") == 200; }), "a configuration is not in force");
    cr_expect(within(15s, [&] { return all.lastWindow() > back; }), "no window is reported after the returns");
    all.expectOneReportOfEachWindow();
    all.expectFencingTokensInOrder();
}

Test(store_returns, after_a_return_at_the_moment_of_a_change_of_leader_duties_go_on, .timeout = 90)
{
    returning_deployment all;
    all.reportWindowsThatTheCopyLacks();
    const std::string leader = all.usageCalls().back().holder;
    all.routers.erase(all.routers.begin() + (leader == "entry-1" ? 0 : 1));
    std::this_thread::sleep_for(leaseTerm); // its lease is about to run out, the other claims
    all.comeBack(100ms);
    all.writeAgain();
    all.drain(all.shop1);
    const std::uint64_t back = all.windowNow();
    cr_expect(within(soon, [&] { return all.allLeaving("shop-1"); }), "an endpoint that leaves is still in use");
    cr_expect(within(15s, [&] { return all.lastWindow() > back; }), "no window is reported after the return");
    all.expectOneReportOfEachWindow();
    all.expectFencingTokensInOrder();
}

// Each copy is taken at another moment of what the daemons write, and each return meets a daemon that ends and another that starts.
Test(store_returns, after_returns_beside_restarts_no_duty_is_done_twice, .timeout = 120)
{
    returning_deployment all;
    all.reportWindowsThatTheCopyLacks();
    for (int i = 0; i < 5; ++i) {
        all.orderEverywhere(2);
        std::this_thread::sleep_for(370ms * i);
        if (i % 2 == 0) {
            all.store.takeCopy();
            all.orderEverywhere(2);
            all.rewriteEntries(3 * i);
            std::this_thread::sleep_for(2s);
        }
        all.routers.erase(all.routers.begin());
        all.comeBack(100ms * (i + 1));
        all.startIn("entry-" + std::to_string(3 + i), i % 2 == 0 ? "west-1" : "west-2");
        all.writeAgain();
    }
    all.drain(all.shop1);
    const std::uint64_t back = all.windowNow();
    cr_expect(within(soon, [&] { return all.allLeaving("shop-1"); }), "an endpoint that leaves is still in use");
    cr_expect(within(15s, [&] { return all.lastWindow() > back; }), "no window is reported after the returns");
    all.expectOneReportOfEachWindow();
    all.expectFencingTokensInOrder();
}

// ---- What the copy brings back ---------------------------------------------------------------------------------------------------------

Test(store_returns, an_endpoint_that_left_and_is_back_with_the_copy_gets_no_new_work, .timeout = 60)
{
    returning_deployment all;
    hosted_endpoint &gone = all.add("shop-3");
    all.store.put("servers/shop-3", gone.entry("shop", "west-1"));
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    cr_assert(eventually([&] { return all.nobody([](const platform::hosted_daemon &item) { return item.isLeaving("shop-3"); }); }));
    all.store.takeCopy();
    all.store.put("servers/shop-3", gone.entry("shop", "west-1", "draining"));
    all.rewriteEntries(lostRewrites);
    all.store.remove("servers/shop-3");
    all.waitUntilAllKnow();
    all.comeBack();
    all.writeAgain();
    all.expectNoWorkAt(gone, 5s);
    all.store.remove("servers/shop-3");
    all.expectNoWorkAt(gone, 1s);
}

// Its entry was gone when the store was lost, and it is alive.
Test(store_returns, an_endpoint_that_only_the_copy_has_is_used_when_it_is_alive, .timeout = 60)
{
    returning_deployment all;
    hosted_endpoint &alive = all.add("shop-3");
    all.store.put("servers/shop-3", alive.entry("shop", "west-1"));
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.store.remove("servers/shop-3");
    all.waitUntilAllKnow();
    cr_assert(all.allLeaving("shop-3"));
    all.comeBack();
    all.writeAgain();
    cr_expect(within(12s, [&] {
        all.orderEverywhere();
        return !alive.runs().empty() && all.nobody([](const platform::hosted_daemon &item) { return item.isLeaving("shop-3"); });
    }));
}

// ---- Version moves ---------------------------------------------------------------------------------------------------------------------

namespace {

void checkThatACompletedMoveStaysCompleted(bool copyHasTheOrder)
{
    const std::string order = R"({"Service":"writer","Target":"v2","DurationS":8})";
    returning_deployment all;
    hosted_endpoint &newer = all.add("writer-3");
    std::string entry = newer.entry("writer", "west-1");
    entry.replace(entry.find("v1"), 2, "v2");
    all.store.put("servers/writer-3", entry);
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    const auto status = [&] {
        const json value = json::parse(all.store.value("status/rollout/writer"), nullptr, false);
        return value.is_object() ? value : json::object();
    };
    const auto state = [&] {
        return status().value("State", std::string());
    };
    std::string copied; // the status that the copy has
    if (!copyHasTheOrder) {
        all.store.takeCopy();
    }
    all.rewriteEntries(lostRewrites);
    all.store.put("op/rollout/writer", order);
    if (copyHasTheOrder) {
        cr_assert(eventually([&] { return state() == "in_progress"; }), "the move does not begin");
        copied = all.store.value("status/rollout/writer");
        all.store.takeCopy();
    }
    cr_assert(eventually([&] {
        all.askAt(0, "POST", "/write/1");
        all.askAt(1, "POST", "/chat/1");
        return state() == "completed" || state() == "rolled_back";
    }));
    cr_assert(state() == "completed", "%s", state().c_str());
    all.waitUntilAllKnow();
    std::this_thread::sleep_for(500ms);
    all.comeBack();
    all.writeAgain();
    all.store.put("op/rollout/writer", order);
    all.store.put("servers/writer-3", entry);
    const std::size_t former = all.writer1.seen().size() + all.writer2.seen().size();
    bool begunAgain = false;
    const time_point until = systemNow() + 5s;
    while (systemNow() < until) {
        all.askAt(0, "POST", "/write/1");
        all.askAt(1, "POST", "/chat/1");
        begunAgain = begunAgain || (state() == "in_progress" && all.store.value("status/rollout/writer") != copied);
    }
    cr_expect(!begunAgain, "a completed move is in progress again");
    cr_expect(state() == "completed", "its status is '%s'", state().c_str());
    cr_expect_eq(all.writer1.seen().size() + all.writer2.seen().size(), former, "%zu requests at the former version",
        all.writer1.seen().size() + all.writer2.seen().size() - former);
    all.store.put("op/rollout/writer", order);
    const std::uint64_t later = risingNumber({all.store.era(), all.store.revisionOf("op/rollout/writer")}, firstEra);
    cr_expect(within(soon, [&] { return status().value("Order", std::uint64_t{0}) == later; }), "a later order is not taken for a new one");
}

} // namespace

Test(store_returns, a_completed_move_is_not_begun_again_when_its_order_is_written_again, .timeout = 90)
{
    checkThatACompletedMoveStaysCompleted(false);
}

Test(store_returns, a_completed_move_is_not_begun_again_when_the_copy_has_it_in_progress, .timeout = 90)
{
    checkThatACompletedMoveStaysCompleted(true);
}

// ---- Stores that state no era ----------------------------------------------------------------------------------------------------------

Test(store_returns, a_store_that_states_no_era_is_followed_as_before, .timeout = 60)
{
    returning_deployment all;
    all.store.faults.eraless = true;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.put("op/config", configurationWith(2, {"extra"}).dump());
    cr_expect(within(soon, [&] { return all.askAt(0, "GET", "/extra/1") == 200 && all.askAt(1, "GET", "/extra/1") == 200; }));
    all.drain(all.shop1);
    cr_expect(within(soon, [&] { return all.allLeaving("shop-1"); }));
    cr_expect(within(15s, [&] { return all.lastWindow() > 0; }), "no window is reported");
    all.store.faults.down = true;
    std::this_thread::sleep_for(1500ms);
    all.store.lapseLeases();
    all.store.faults.down = false;
    const std::uint64_t back = all.windowNow();
    cr_expect(within(15s, [&] { return all.lastWindow() > back; }), "no window is reported after an outage");
    all.expectOneReportOfEachWindow();
    all.expectFencingTokensInOrder();
}

// ---- Large failure domains, quarantines ------------------------------------------------------------------------------------------------

// Those that ask the watchers hold revisions of the lost history as well.
Test(store_returns, in_a_large_failure_domain_all_hear_of_a_change_after_the_return, .timeout = 90)
{
    returning_deployment all;
    for (int i = 1; i <= 7; ++i) {
        all.startIn("entry-" + std::to_string(i), "west-1");
    }
    cr_assert(eventually([&] { return all.store.watching() == 2; }), "%zu daemons watch the store", all.store.watching());
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.waitUntilAllKnow();
    all.comeBack();
    all.writeAgain();
    all.drain(all.writer2);
    cr_expect(within(soon, [&] { return all.allLeaving("writer-2"); }), "%ld of 7 daemons still use an endpoint that leaves",
        std::count_if(all.routers.begin(), all.routers.end(), [](const auto &item) { return !item->isLeaving("writer-2"); }));
}

// Those that watched the store for the others end while it is away, and those that asked them are left with their positions.
Test(store_returns, in_a_large_failure_domain_all_hear_of_a_change_when_the_watchers_end_with_the_return, .timeout = 90)
{
    returning_deployment all;
    all.store.put("servers/writer-7", all.add("writer-7").entry("writer", "west-1"));
    for (int i = 1; i <= 8; ++i) {
        all.startIn("entry-" + std::to_string(i), "west-1");
    }
    cr_assert(eventually([&] { return all.store.watching() == 2; }), "%zu daemons watch the store", all.store.watching());
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.waitUntilAllKnow();
    all.store.faults.down = true;
    all.routers.erase(all.routers.begin(), all.routers.begin() + 4);
    all.store.comeBackFromCopy();
    all.rewriteEntries(lostRewrites + 20); // the new history passes the positions of the lost one
    all.drain(all.writer2);
    all.rewriteEntries();
    all.store.faults.down = false;
    all.startIn("entry-9", "west-1");
    all.startIn("entry-10", "west-1");
    cr_expect(within(soon, [&] { return all.allLeaving("writer-2"); }), "%ld of 6 daemons still use an endpoint that leaves",
        std::count_if(all.routers.begin(), all.routers.end(), [](const auto &item) { return !item->isLeaving("writer-2"); }));
}

// Daemons that start later know a quarantine from the store alone.
Test(store_returns, a_quarantine_that_the_copy_lacks_is_recorded_again, .timeout = 60)
{
    const std::string key = "chicory/quarantine/aa04";
    returning_deployment all;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    const auto millis = std::chrono::floor<std::chrono::milliseconds>(systemNow().time_since_epoch()).count();
    all.store.put(key, json({{"until", millis + 60'000}, {"by", "entry-9"}}).dump());
    const auto isRefused = [&](std::size_t daemon) {
        http_call call;
        call.method = "POST";
        call.target = "/chat/1";
        call.headers = {{"Host", "tassel.example"}, {"X-Request-Id", "q" + std::to_string(++all.requests)}, {"X-Api-Key", "key-1"}, {"X-Deadline-Ms", "10000"},
            {"X-Prompt-Prefix", "aa04:20,cc:10"}};
        sync_client client;
        return client.callAllowingPartial(all.routers[daemon]->gateway(), call).response.status == 503;
    };
    cr_assert(eventually([&] { return isRefused(0) && isRefused(1); }), "the quarantine is not known");
    all.comeBack();
    all.writeAgain();
    cr_expect(within(12s, [&] { return !all.store.value(key).empty(); }), "the store has no record of it");
    cr_expect(isRefused(0) && isRefused(1));
}

// ---- Review of issue 59: faults that remain --------------------------------------------------------------------------------------------

namespace {

// All daemons take requests on a route that the lost configuration alone has.
bool allServe(returning_deployment &all, const std::string &target)
{
    for (std::size_t i = 0; i < all.routers.size(); ++i) {
        if (all.askAt(i, "GET", target) != 200) {
            return false;
        }
    }
    return true;
}

bool isReturnRecorded(returning_deployment &all)
{
    const json record = json::parse(all.store.value("chicory/return"), nullptr, false);
    return record.is_object() && record.value("era", std::uint64_t{0}) == all.store.era();
}

} // namespace

// After three seconds without a record the daemons compose the document of the copy, whatever version they had accepted.
Test(store_returns, an_older_configuration_is_not_put_into_force_while_the_store_refuses_writes, .timeout = 60)
{
    returning_deployment all;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.store.put("op/config", configurationWith(2, {"extra"}).dump());
    cr_assert(eventually([&] { return allServe(all, "/extra/1"); }));
    all.store.faults.refusingWrites = true;
    all.comeBack();
    int unknown = 0;
    const time_point back = systemNow();
    duration firstAfter{};
    while (systemNow() < back + 8s) {
        for (std::size_t i = 0; i < all.routers.size(); ++i) {
            const bool isUnknown = all.askAt(i, "GET", "/extra/1") == 404;
            firstAfter = isUnknown && unknown == 0 ? systemNow() - back : firstAfter;
            unknown += isUnknown ? 1 : 0;
        }
        std::this_thread::sleep_for(20ms);
    }
    cr_expect_eq(unknown, 0, "%d requests by the older configuration, the first %ld ms after the return", unknown,
        static_cast<long>(std::chrono::floor<std::chrono::milliseconds>(firstAfter).count()));
}

// Whoever recorded the return alone ends the time in which an unchanged order is the one of before.
Test(store_returns, a_later_order_is_a_new_one_although_the_recorder_of_the_return_has_ended, .timeout = 90)
{
    const std::string order = R"({"Service":"writer","Target":"v2","DurationS":8})";
    returning_deployment all;
    hosted_endpoint &newer = all.add("writer-3");
    std::string entry = newer.entry("writer", "west-1");
    entry.replace(entry.find("v1"), 2, "v2");
    all.store.put("servers/writer-3", entry);
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.store.put("op/rollout/writer", order);
    const auto status = [&] {
        const json value = json::parse(all.store.value("status/rollout/writer"), nullptr, false);
        return value.is_object() ? value : json::object();
    };
    cr_assert(eventually([&] {
        all.askAt(0, "POST", "/write/1");
        all.askAt(1, "POST", "/chat/1");
        return status().value("State", std::string()) == "completed";
    }));
    all.waitUntilAllKnow();
    all.comeBack();
    all.writeAgain();
    all.store.put("op/rollout/writer", order);
    all.store.put("servers/writer-3", entry);
    cr_assert(eventually([&] { return isReturnRecorded(all); }), "the return is not recorded");
    for (const auto &[name, domain] : {std::pair("entry-1", "west-1"), std::pair("entry-2", "west-2")}) {
        all.routers.erase(all.routers.begin());
        all.startIn(name, domain);
    }
    std::this_thread::sleep_for(8s);
    const std::string record = all.store.value("chicory/return");
    all.store.put("op/rollout/writer", order);
    const std::uint64_t later = risingNumber({all.store.era(), all.store.revisionOf("op/rollout/writer")}, firstEra);
    cr_expect(within(soon, [&] { return status().value("Order", std::uint64_t{0}) == later; }), "order %lu is not taken for a new one; the record is %s",
        static_cast<unsigned long>(later), record.c_str());
}

// Most daemons of a large failure domain ask its watchers, and had no answer of the store's own for long before the return.
Test(store_returns, a_live_endpoint_that_the_copy_lacks_stays_in_use_until_it_has_written_again, .timeout = 90)
{
    returning_deployment all;
    for (int i = 1; i <= 7; ++i) {
        all.startIn("entry-" + std::to_string(i), "west-1");
    }
    cr_assert(eventually([&] { return all.store.watching() == 2; }), "%zu daemons watch the store", all.store.watching());
    all.store.takeCopy();
    hosted_endpoint &young = all.add("shop-3");
    all.store.put("servers/shop-3", young.entry("shop", "west-1"));
    all.rewriteEntries(lostRewrites);
    all.waitUntilAllKnow();
    std::this_thread::sleep_for(5s); // quiet
    all.comeBack();
    std::set<std::size_t> dropped;
    const time_point until = systemNow() + 1500ms; // live endpoints are back within two seconds
    while (systemNow() < until) {
        for (std::size_t i = 0; i < all.routers.size(); ++i) {
            if (all.routers[i]->isLeaving("shop-3")) {
                dropped.insert(i);
            }
        }
        std::this_thread::sleep_for(5ms);
    }
    cr_expect_eq(dropped.size(), 0, "%zu of 7 daemons dropped a live endpoint", dropped.size());
}

// The store begins to state eras with its first return.
Test(store_returns, a_return_is_noticed_if_no_era_was_stated_before_it, .timeout = 60)
{
    returning_deployment all;
    all.store.faults.eraless = true;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.waitUntilAllKnow();
    all.store.faults.down = true;
    std::this_thread::sleep_for(500ms);
    all.store.faults.eraless = false;
    all.store.comeBackFromCopy();
    all.store.faults.down = false;
    all.writeAgain();
    all.drain(all.shop1);
    cr_expect(within(soon, [&] { return all.allLeaving("shop-1"); }), "an endpoint that leaves is still in use");
    all.expectNoWorkAt(all.shop1);
}

// Ids of orders are bare revisions: an order given after the return may get that of a lost one.
Test(store_returns, another_order_at_the_revision_of_a_completed_lost_one_is_begun, .timeout = 90)
{
    const std::string order = R"({"Service":"writer","Target":"v2","DurationS":8})";
    returning_deployment all;
    hosted_endpoint &newer = all.add("writer-3");
    std::string entry = newer.entry("writer", "west-1");
    entry.replace(entry.find("v1"), 2, "v2");
    all.store.put("servers/writer-3", entry);
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.store.put("op/rollout/writer", order);
    const std::uint64_t lost = all.store.revisionOf("op/rollout/writer");
    const auto status = [&] {
        const json value = json::parse(all.store.value("status/rollout/writer"), nullptr, false);
        return value.is_object() ? value : json::object();
    };
    cr_assert(eventually([&] {
        all.askAt(0, "POST", "/write/1");
        all.askAt(1, "POST", "/chat/1");
        return status().value("State", std::string()) == "completed";
    }));
    all.waitUntilAllKnow();
    all.comeBack();
    all.writeAgain();
    all.store.put("op/rollout/writer", order);
    all.store.put("servers/writer-3", entry);
    cr_assert(eventually([&] { return status().value("State", std::string()) == "completed"; }), "the status is not written again");
    std::this_thread::sleep_for(7s); // the record's time for old orders is over
    const std::string other = R"({"Service":"writer","Target":"v2","DurationS":9})";
    while (all.store.revision() + 1 < lost) {
        all.store.put("servers/shop-2", all.shop2.entry("shop", "west-1"));
    }
    all.store.put("op/rollout/writer", other);
    const std::uint64_t given = all.store.revisionOf("op/rollout/writer");
    cr_assert_eq(given, lost, "the test missed the revision: %lu, not %lu", static_cast<unsigned long>(given), static_cast<unsigned long>(lost));
    const std::string before = all.store.value("status/rollout/writer");
    cr_expect(within(soon, [&] { return all.store.value("status/rollout/writer") != before; }), "the order is not begun; its status is %s", before.c_str());
}

// The operator writes its evacuation again after two seconds; the daemons had acknowledged it.
Test(store_returns, an_evacuation_that_the_copy_lacks_stays_in_force_until_the_operator_has_written_again, .timeout = 60)
{
    returning_deployment all;
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.waitUntilAllKnow();
    all.store.put("op/evacuate/west-1", R"({"Zone":"west-1"})");
    cr_assert(eventually([&] {
        const std::size_t before = all.shop1.seen().size() + all.shop2.seen().size();
        all.orderEverywhere();
        return all.shop1.seen().size() + all.shop2.seen().size() == before;
    }),
        "the evacuation is not in force");
    all.comeBack();
    const std::size_t before = all.shop1.seen().size() + all.shop2.seen().size();
    const time_point until = systemNow() + 2s;
    while (systemNow() < until) {
        all.orderEverywhere();
        std::this_thread::sleep_for(10ms);
    }
    const std::size_t reached = all.shop1.seen().size() + all.shop2.seen().size() - before;
    cr_expect_eq(reached, 0, "%zu requests reached an evacuated failure domain", reached);
}

// A daemon that started after the return records it, as those that know more don't reach the store yet.
Test(store_returns, a_completed_move_is_not_begun_again_when_a_daemon_without_memory_records_the_return, .timeout = 90)
{
    const std::string order = R"({"Service":"writer","Target":"v2","DurationS":8})";
    returning_deployment all;
    hosted_endpoint &newer = all.add("writer-3");
    std::string entry = newer.entry("writer", "west-1");
    entry.replace(entry.find("v1"), 2, "v2");
    all.store.put("servers/writer-3", entry);
    all.startIn("entry-1", "west-1");
    all.startIn("entry-2", "west-2");
    all.store.takeCopy();
    all.rewriteEntries(lostRewrites);
    all.store.put("op/rollout/writer", order);
    const auto state = [&] {
        const json value = json::parse(all.store.value("status/rollout/writer"), nullptr, false);
        return value.is_object() ? value.value("State", std::string()) : std::string();
    };
    cr_assert(eventually([&] {
        all.askAt(0, "POST", "/write/1");
        all.askAt(1, "POST", "/chat/1");
        return state() == "completed";
    }));
    all.waitUntilAllKnow();
    all.store.faults.down = true;
    std::this_thread::sleep_for(500ms);
    all.store.comeBackFromCopy();
    const auto seen = std::chrono::floor<std::chrono::milliseconds>(systemNow().time_since_epoch()).count();
    all.store.put("chicory/return",
        json({{"first_era", all.store.era()}, {"era", all.store.era()}, {"seen_ms", seen}, {"configuration", 0}, {"orders", json::object()},
                 {"orders_until", 0}})
            .dump());
    all.store.faults.down = false;
    all.writeAgain();
    all.store.put("op/rollout/writer", order);
    all.store.put("servers/writer-3", entry);
    const std::size_t former = all.writer1.seen().size() + all.writer2.seen().size();
    bool begunAgain = false;
    const time_point until = systemNow() + 6s;
    while (systemNow() < until) {
        all.askAt(0, "POST", "/write/1");
        all.askAt(1, "POST", "/chat/1");
        begunAgain = begunAgain || state() == "in_progress";
    }
    const std::size_t reached = all.writer1.seen().size() + all.writer2.seen().size() - former;
    cr_expect(!begunAgain, "a completed move is in progress again");
    cr_expect_eq(reached, 0, "%zu requests at the former version", reached);
}

// Its leader takes it for recorded, and no daemon has heard of the status from the store.
Test(store_returns, a_moves_status_that_was_lost_as_soon_as_it_was_acknowledged_is_written_again, .timeout = 90)
{
    returning_deployment all;
    hosted_endpoint &newer = all.add("writer-3");
    std::string entry = newer.entry("writer", "west-1");
    entry.replace(entry.find("v1"), 2, "v2");
    all.store.put("servers/writer-3", entry);
    all.startIn("entry-1", "west-1");
    const auto state = [&] {
        const json value = json::parse(all.store.value("status/rollout/writer"), nullptr, false);
        return value.is_object() ? value.value("State", std::string()) : std::string();
    };
    all.store.put("op/rollout/writer", R"({"Service":"writer","Target":"v2","DurationS":8})");
    cr_assert(eventually([&] { return state() == "in_progress"; }), "the move does not begin");
    all.store.takeCopy();
    std::atomic<bool> asks{true};
    std::thread caller([&] {
        while (asks) {
            all.askAt(0, "POST", "/write/1");
            all.store.put("servers/shop-2", all.shop2.entry("shop", "west-1")); // the daemon pauses after each answer of its watch
        }
    });
    const time_point until = systemNow() + 30s;
    while (systemNow() < until && state() != "completed") {
        std::this_thread::sleep_for(1ms);
    }
    const std::string acknowledged = state();
    all.store.faults.down = true;
    asks = false;
    caller.join();
    cr_assert(acknowledged == "completed", "the move does not complete");
    std::this_thread::sleep_for(200ms);
    all.store.comeBackFromCopy();
    all.store.faults.down = false;
    all.writeAgain();
    all.store.put("servers/writer-3", entry);
    cr_expect(within(15s,
                  [&] {
                      all.askAt(0, "POST", "/write/1");
                      return state() == "completed";
                  }),
        "its status is '%s'", state().c_str());
}
