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

    bool askSound(const std::string &path)
    {
        const std::string own = std::to_string(requests + 1000);
        return askAt(requests % 2, path + own, "aa01:200,bb" + own + ":30,cc" + own + ":10");
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

// Each request was a new one at another endpoint, nothing connected the crashes, and a route that may resume carried each to a second endpoint.
Test(deadly_prompts, a_prompt_part_that_crashes_endpoints_reaches_few_of_them, .timeout = 120)
{
    for (const std::string path : {"/write/", "/chat/"}) {
        deployment_with_deadly_prompts all;
        const time_point begun = systemNow();
        time_point decisive = begun; // the fifth crash, or the last one if there are fewer
        std::size_t sound = 0;
        std::size_t soundAnswered = 0;
        while (systemNow() < decisive + 3 * inTouch && systemNow() < begun + 6 * inTouch) {
            all.askDeadly(path);
            const bool neighboursBound = systemNow() > decisive + 2 * inTouch;
            const bool answered = all.askSound(path);
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
