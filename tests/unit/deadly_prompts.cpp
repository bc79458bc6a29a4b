// Prompts with a part that crashes every endpoint which begins to answer them, among sound prompts that share their other parts.
#include "support/small_deployment.h"

#include "shell/clock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::small_deployment;

namespace {

constexpr duration inTouch = 3s;              // the bound within which a fact must be known to all daemons
constexpr std::size_t crashesBeforeBound = 5; // from the fifth crash on, the part must be known within `inTouch`
constexpr std::size_t maxDeliveriesAfter = 3; // of prompts with the part, later than that

// Two daemons and six model endpoints, all of which crash on the deadly part.
struct deployment_with_deadly_prompts : small_deployment
{
    deployment_with_deadly_prompts()
    {
        writers = {&writer1, &writer2};
        for (int i = 3; i <= 6; ++i) {
            writers.push_back(&add("writer-" + std::to_string(i)));
            store.put("servers/" + writers.back()->id(), writers.back()->entry("writer", "west-1"));
        }
        for (hosted_endpoint *item : writers) {
            item->faults.crashesOnPart = true;
            item->faults.workMillis = 5;
        }
        start("entry-1");
        start("entry-2");
    }

    // Whether the request was answered in full.
    bool askAt(std::size_t daemon, const std::string &target, const std::string &parts)
    {
        http_call call;
        call.method = "POST";
        call.target = target;
        call.headers = {{"Host", "tassel.example"}, {"X-Request-Id", "r" + std::to_string(++requests)}, {"X-Api-Key", "key-1"}, {"X-Deadline-Ms", "10000"},
            {"X-Prompt-Prefix", parts}};
        sync_client client;
        const sync_client::partial_response answer = client.callAllowingPartial(routers[daemon]->gateway(), call);
        return answer.complete && answer.response.status == 200;
    }

    bool askDeadly(const std::string &path)
    {
        const std::string own = std::to_string(requests + 1000);
        return askAt(requests % 2, path + own, "aa01:200," + std::string(hostedDeadlyPart) + ":50,bb" + own + ":30,cc" + own + ":10");
    }

    // The same prompt each time, which is deadly as a whole: sound prompts of the same session share all its parts but the last.
    bool askDeadlyWhole(const std::string &path) { return askAt(requests % 2, path + "w", "aa01:200,bb02:30," + std::string(hostedDeadlyPart) + ":10"); }

    bool askSoundOfTheSession(const std::string &path) { return askAt(requests % 2, path + "s", "aa01:200,bb02:30,cc" + std::to_string(requests) + ":10"); }

    bool askSound(const std::string &path)
    {
        const std::string own = std::to_string(requests + 1000);
        return askAt(requests % 2, path + own, "aa01:200,bb" + own + ":30,cc" + own + ":10");
    }

    // Until every endpoint has ended what it had begun, which may crash it although the request was ended before, and is back after its last crash.
    void waitForEndpoints()
    {
        const auto isBusy = [](hosted_endpoint *item) {
            return item->open() > 0 || item->isDown();
        };
        const bool back = test::eventually([&] { return std::none_of(writers.begin(), writers.end(), isBusy); });
        cr_assert(back, "an endpoint stays down");
    }

    std::vector<time_point> crashes()
    {
        std::vector<time_point> all;
        for (hosted_endpoint *item : writers) {
            const std::vector<time_point> some = item->crashes();
            all.insert(all.end(), some.begin(), some.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    std::vector<hosted_endpoint *> writers;
    std::size_t requests = 0;
};

} // namespace

namespace {

using ask_function = bool (deployment_with_deadly_prompts::*)(const std::string &path);

void checkThatFewEndpointsCrash(ask_function askDeadly, ask_function askSound, std::chrono::milliseconds downTime)
{
    for (const std::string path : {"/write/", "/chat/"}) {
        deployment_with_deadly_prompts all;
        for (hosted_endpoint *item : all.writers) {
            item->faults.downMillis = static_cast<int>(downTime.count());
        }
        const time_point begun = systemNow();
        time_point decisive = begun; // the fifth crash, or the last one if there are fewer
        std::size_t sound = 0;
        std::size_t soundAnswered = 0;
        while (systemNow() < decisive + 3 * inTouch && systemNow() < begun + 6 * inTouch) {
            (all.*askDeadly)(path);
            const bool neighboursBound = systemNow() > decisive + 2 * inTouch;
            const bool answered = (all.*askSound)(path);
            sound += neighboursBound ? 1 : 0;
            soundAnswered += neighboursBound && answered ? 1 : 0;
            const std::vector<time_point> crashes = all.crashes();
            decisive = crashes.empty() ? begun : crashes[std::min(crashes.size(), crashesBeforeBound) - 1];
            std::this_thread::sleep_for(60ms);
        }
        const std::vector<time_point> crashes = all.crashes();
        const auto after = static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [&](time_point at) { return at > decisive + inTouch; }));
        cr_expect_geq(crashes.size(), 1, "%s: no endpoint crashed", path.c_str());
        cr_expect_leq(after, maxDeliveriesAfter, "%s: %zu crashes, %zu of them after the bound", path.c_str(), crashes.size(), after);
        cr_expect_geq(sound, 20, "%s: only %zu sound prompts were asked after the bound", path.c_str(), sound);
        cr_expect_geq(2 * soundAnswered, sound, "%s: %zu of %zu sound prompts answered", path.c_str(), soundAnswered, sound);
    }
}

} // namespace

// Each request was a new one at another endpoint, nothing connected the crashes, and a route that may resume carried each to a second endpoint.
Test(deadly_prompts, a_prompt_part_that_crashes_endpoints_reaches_few_of_them, .timeout = 120)
{
    checkThatFewEndpointsCrash(&deployment_with_deadly_prompts::askDeadly, &deployment_with_deadly_prompts::askSound, 300ms);
}

// Its callers send the same prompt again, and sound prompts of its session clear all the parts that it shares with them. An endpoint is back
// later here: prompts of one session go to the same endpoint, whose next crash within a second would be taken for the same one.
Test(deadly_prompts, a_whole_prompt_that_crashes_endpoints_reaches_few_of_them, .timeout = 120)
{
    checkThatFewEndpointsCrash(&deployment_with_deadly_prompts::askDeadlyWhole, &deployment_with_deadly_prompts::askSoundOfTheSession, 1500ms);
}

namespace {

// Brings the deployment to the quarantine of the deadly part.
void crashUntilQuarantined(deployment_with_deadly_prompts &all)
{
    constexpr std::string_view records = "chicory/quarantine/";
    const bool recorded = test::eventually([&] {
        all.askDeadly("/write/");
        all.askSound("/write/");
        return all.store.keys(std::string(records)).size() == 1;
    });
    cr_assert(recorded, "no quarantine was recorded in the store");
    cr_assert(all.store.keys(std::string(records)).front() == std::string(records) + std::string(hostedDeadlyPart));
}

} // namespace

// A refusal of a quarantined prompt is the daemon's own: 503, not run, and without Retry-After, as no later moment is known to be better.
Test(deadly_prompts, a_quarantined_prompt_is_refused_at_once_and_reaches_no_endpoint, .timeout = 120)
{
    deployment_with_deadly_prompts all;
    crashUntilQuarantined(all);
    const std::size_t crashes = all.crashes().size();
    for (int i = 0; i < 10; ++i) {
        const auto answer = all.ask("POST", "/chat/1", "q" + std::to_string(i), {{"X-Prompt-Prefix", "aa01:200,DEAD1E55:50,cc" + std::to_string(i) + ":10"}});
        cr_assert_eq(answer.response.status, 503);
        cr_assert(findHeader(answer.response.headers, "Retry-After").empty());
        cr_assert(answer.response.body.find("prompt_quarantined") != std::string::npos && answer.response.body.find("\"ran\":\"no\"") != std::string::npos,
            "got: %s", answer.response.body.c_str());
    }
    cr_assert_eq(all.crashes().size(), crashes);
    const auto ownPart = all.ask("POST", "/chat/1", "own", {{"X-Prompt-Prefix", "aa01:200,dead1e55:50"}});
    cr_assert_neq(ownPart.response.status, 503, "the last part belongs to the request alone and is never quarantined");
}

// All daemons restarted at once have no memory of their own.
Test(deadly_prompts, a_quarantine_outlives_a_restart_of_all_daemons, .timeout = 120)
{
    deployment_with_deadly_prompts all;
    crashUntilQuarantined(all);
    all.routers.clear();
    all.waitForEndpoints();
    const std::size_t crashes = all.crashes().size();
    all.start("entry-1");
    all.start("entry-2");
    for (int i = 0; i < 10; ++i) {
        cr_assert(!all.askDeadly("/chat/"));
        cr_assert(all.askSound("/chat/"));
    }
    cr_assert_eq(all.crashes().size(), crashes);
}

// Records that another writer left there, or that have ended.
Test(deadly_prompts, an_unreadable_or_ended_record_quarantines_nothing, .timeout = 60)
{
    small_deployment all;
    const auto millis = std::chrono::floor<std::chrono::milliseconds>(systemNow().time_since_epoch()).count();
    all.store.put("chicory/quarantine/aa01", "{\"until\":" + std::to_string(millis - 1000) + "}");
    all.store.put("chicory/quarantine/aa02", "not JSON");
    all.store.put("chicory/quarantine/aa03", "{\"until\":\"soon\"}");
    all.store.put("chicory/quarantine/no part", "{\"until\":" + std::to_string(millis + 60'000) + "}");
    all.store.put("chicory/quarantine/aa04", "{\"until\":" + std::to_string(millis + 60'000) + "}");
    all.start();
    const auto asked = [&](const std::string &part) {
        return all.ask("POST", "/chat/1", "r" + part, {{"X-Prompt-Prefix", part + ":20,cc:10"}}).response.status;
    };
    cr_assert_eq(asked("aa04"), 503);
    for (const std::string part : {"aa01", "aa02", "aa03"}) {
        cr_assert_eq(asked(part), 200, "%s", part.c_str());
    }
}
