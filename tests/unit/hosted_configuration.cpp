// Configurations on the hosted platform's stand-ins: what was confirmed is in force, whatever the way by which it came.
// Waits are bounded generously, and no check depends on how fast anything was.
#include "support/large_configuration.h"
#include "support/small_deployment.h"

#include "shell/clock.h"

#include <criterion/criterion.h>

#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;
using nlohmann::json;
using test::eventually;
using test::small_deployment;

Test(hosted, keys_and_routes_come_and_go_with_the_configuration)
{
    small_deployment all;
    all.start();
    json next = hostedConfiguration();
    next["Version"] = 2;
    next["Tenants"][0]["ApiKeys"] = {"key-2"};
    all.store.put("op/config", next.dump());
    cr_assert(eventually([&] { return all.ask("POST", "/order/1", "k").response.status == 401; }));
    next["Version"] = 3;
    next["Tenants"][0]["ApiKeys"] = {"key-1"};
    next["Routes"].erase(2);
    all.store.put("op/config", next.dump());
    cr_assert(eventually([&] { return all.ask("POST", "/order/1", "r").response.status == 404; }));
    cr_assert_eq(all.ask("GET", "/look/1", "l").response.status, 200);
}

Test(hosted, a_configuration_that_takes_seconds_to_arrive_is_in_force_all_the_same)
{
    small_deployment all;
    all.start();
    json next = test::withRoutes(hostedConfiguration(), 700, 2);
    next["Tenants"][0]["ApiKeys"] = {"key-2"};
    all.store.faults.bytesPerSecond = 40'000; // five seconds for each version
    all.store.put("op/config", next.dump());
    for (int version = 3; version <= 5; ++version) {
        std::this_thread::sleep_for(300ms);
        next["Version"] = version;
        all.store.put("op/config", next.dump());
    }
    cr_assert(eventually([&] { return all.ask("POST", "/order/1", "k").response.status == 401; }), "the old key is still in force");
}

Test(hosted, what_callers_may_send_comes_with_the_configuration)
{
    small_deployment all;
    all.start();
    const std::string longPath = "/order/" + std::string(3000, 'x');
    cr_assert_eq(all.ask("POST", longPath, "o1").response.status, 200);
    json next = hostedConfiguration();
    next["Version"] = 2;
    next["Limits"]["MaxHeaderBytes"] = 2000;
    all.store.put("op/config", next.dump());
    cr_assert(eventually([&] { return all.ask("POST", longPath, "o2").response.status == 431; }));
    next["Version"] = 3;
    next["Limits"] = "none that can be read";
    next["Routes"].erase(3);
    all.store.put("op/config", next.dump());
    cr_assert(eventually([&] { return all.ask("GET", "/look/1", "l").response.status == 404; }), "bad limits must not hold up the routes");
}

Test(hosted, whoever_cannot_read_all_changes_in_time_lists_what_there_is_now)
{
    small_deployment all;
    all.start();
    json next = test::withRoutes(hostedConfiguration(), 500, 2);
    all.store.faults.bytesPerSecond = 80'000; // two seconds for each version
    for (int version = 2; version <= 9; ++version) {
        next["Version"] = version;
        next["Tenants"][0]["ApiKeys"] = {version == 9 ? "key-2" : "key-1"};
        all.store.put("op/config", next.dump());
        std::this_thread::sleep_for(200ms);
    }
    cr_assert(eventually([&] { return all.ask("POST", "/order/1", "k").response.status == 401; }), "the old key is still in force");
}

// The page with the configuration takes five seconds; those behind it have their own time.
Test(hosted, a_list_goes_on_after_a_page_that_took_long)
{
    small_deployment all(test::withRoutes(hostedConfiguration(), 700, 1));
    all.store.faults.bytesPerSecond = 40'000;
    all.start(); // it lists everything, and knows the endpoints of the last page
}

Test(hosted, a_configuration_that_changes_while_the_store_is_listed_is_in_force)
{
    std::atomic<bool> changed{false};
    small_deployment all;
    all.store.onPage = [&](const std::string &lastKey) {
        if (lastKey >= "op/config" && !changed.exchange(true)) {
            json next = hostedConfiguration(); // the page that was just read holds the first one
            next["Version"] = 2;
            next["Tenants"][0]["ApiKeys"] = {"key-2"};
            all.store.put("op/config", next.dump());
            all.store.put("status/rollout/writer", R"({"State":"completed","Target":"v1","Order":2})");
        }
    };
    all.store.put("status/rollout/writer", R"({"State":"completed","Target":"v1","Order":1})");
    all.start();
    cr_assert(changed);
    cr_assert(eventually([&] { return all.ask("POST", "/order/1", "k").response.status == 401; }), "the old key is still in force");
}

Test(hosted, a_failure_domain_taken_back_while_the_history_was_lost_is_used_again)
{
    small_deployment all;
    all.start();
    all.store.put("op/evacuate/west-1", "{}");
    json next = hostedConfiguration();
    next["Version"] = 2;
    next["Routes"].erase(3);
    all.store.put("op/config", next.dump());
    cr_assert(eventually([&] { return all.ask("GET", "/look/1", "l").response.status == 404; }));
    cr_assert_neq(all.ask("POST", "/order/1", "o1").response.status, 200);
    all.store.faults.forgetful = true;
    all.store.remove("op/evacuate/west-1");
    cr_assert(eventually([&] { return all.ask("POST", "/order/1", "o2").response.status == 200; }), "it is still taken for out");
}

Test(hosted, what_cannot_be_read_changes_nothing)
{
    small_deployment all;
    all.start();
    all.store.put("op/config", "{ this is no JSON");
    all.store.put("op/rollout/writer", "neither is this");
    all.store.put("op/evacuate/west-9", "{}");
    std::this_thread::sleep_for(400ms);
    cr_assert_eq(all.ask("POST", "/order/1", "o1").response.status, 200);
    json odd = hostedConfiguration();
    odd["Version"] = 2;
    odd["Routes"].push_back({{"Name", "broken"}, {"Host", 7}});
    odd["Services"].push_back("not a service");
    all.store.put("op/config", odd.dump());
    std::this_thread::sleep_for(400ms);
    cr_assert_eq(all.ask("POST", "/order/1", "o2").response.status, 200);
}
