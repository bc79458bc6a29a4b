// The demo's scenarios. Each sends requests, checks the answers and prints one line per check.
#include "standin/demo.h"

#include "chicoryrouter/error.h"
#include "standin/deployment.h"

#include <nlohmann/json.hpp>

#include <future>
#include <map>
#include <ostream>
#include <thread>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr unsigned chatTokens = 24;
constexpr unsigned longTokens = 200;

bool report(std::ostream &out, const std::string &description, const http_response &answer, bool passed)
{
    out << (passed ? "  ok    " : "  WRONG ") << description << ": HTTP " << answer.status << ", request " << findHeader(answer.headers, "X-Request-Id")
        << "\n";
    return passed;
}

bool isComplete(const http_response &answer, const std::string &prompt, unsigned tokens)
{
    return streamEnded(answer.body) && streamedText(answer.body) == standinAnswer(prompt, tokens);
}

bool runChat(std::ostream &out, deployment &target, const std::string &description = "streamed chat, 24 tokens")
{
    const std::string prompt = "Which cord matches teal silk?";
    const http_response answer = target.completion(0, "chat", prompt, chatTokens);
    return report(out, description, answer, isComplete(answer, prompt, chatTokens));
}

bool runStock(std::ostream &out, deployment &target)
{
    const http_response answer = target.plain(1, "GET", "/stock/cord-teal");
    return report(out, "stock lookup", answer, answer.status == 200);
}

bool runOrder(std::ostream &out, deployment &target)
{
    const http_response first = target.plain(0, "POST", "/orders", "order-1", R"({"item":"cord-teal"})");
    const http_response again = target.plain(1, "POST", "/orders", "order-1", R"({"item":"cord-teal"})");
    const bool once = first.status == 200 && again.status == 200 && first.body == again.body && findHeader(again.headers, "X-Replayed") == "1";
    report(out, "order", first, first.status == 200);
    return report(out, "the same order sent again to another daemon: replays the first answer, places no second order", again, once);
}

// ---- Fault scenarios. Each injects one fault into a deployment with slow engines and checks what the caller receives. Those that use
// runStreamDuring() inject it while a stream is open.

bool runStreamDuring(std::ostream &out, deployment &target, const std::string &description, const std::function<void()> &disturb)
{
    const std::string prompt = "a long pattern";
    auto open = std::async(std::launch::async, [&] { return target.completion(0, "write-up", prompt, longTokens); });
    std::this_thread::sleep_for(300ms);
    disturb();
    const http_response answer = open.get();
    return report(out, description, answer, isComplete(answer, prompt, longTokens));
}

bool runReclaimWave(std::ostream &out, deployment &target)
{
    return runStreamDuring(
        out, target, "stream open while the only engine of a failure domain is reclaimed", [&] { target.platform().reclaim(target.engineId(0), 1s); });
}

bool runCrash(std::ostream &out, deployment &target)
{
    return runStreamDuring(out, target, "stream open while an engine crashes without notice", [&] { target.engineAt(0).crash(); });
}

bool runStoreDown(std::ostream &out, deployment &target)
{
    target.store().faults.down = true;
    const bool chat = runChat(out, target, "streamed chat while the key-value service is down");
    const http_response order = target.plain(0, "POST", "/orders", "order-2", "{}");
    return report(out, "order while the key-value service is down: refused, not run", order,
               order.status == 503 && order.body.find(R"("ran":"no")") != std::string::npos)
        && chat;
}

bool runLostReply(std::ostream &out, deployment &target)
{
    target.store().faults.loseReplies = 1;
    return runOrder(out, target);
}

bool runCold(std::ostream &out, deployment &target)
{
    target.engineAt(0).resetCache();
    target.engineAt(0).faults.slowFactor = 5;
    return runChat(out, target, "streamed chat while an engine has an empty cache and is slow");
}

bool runDomainOut(std::ostream &out, deployment &target)
{
    std::string text = deploymentDocument({});
    const std::string line = "{name: fd-1, region: prairie}";
    text.replace(text.find(line), line.size(), "{name: fd-1, region: prairie, out: true}");
    target.replaceDocument(text);
    const bool inForce = target.waitUntil([&] { return target.at(0).revisionInForce() == 2 && target.at(1).revisionInForce() == 2; }, 3s);
    const std::uint64_t before = target.engineAt(0).generationsStarted();
    const bool chat = runChat(out, target, "streamed chat with failure domain fd-1 taken out of service");
    const bool untouched = target.engineAt(0).generationsStarted() == before;
    out << (untouched ? "  ok    " : "  WRONG ") << "no new generation started in fd-1\n";
    return inForce && chat && untouched;
}

bool runPlannedStop(std::ostream &out, deployment &target)
{
    return runStreamDuring(out, target, "stream open during a planned stop of its entry instance", [&] { target.at(0).stop(); });
}

bool runEngineRefusal(std::ostream &out, deployment &target)
{
    target.engineAt(0).faults.refuse = true;
    return runChat(out, target, "streamed chat while an engine refuses requests and confirms that it ran nothing");
}

using scenario = bool (*)(std::ostream &, deployment &);

const std::map<std::string, scenario> &faultScenarios()
{
    static const std::map<std::string, scenario> scenarios = {
        {"reclaim-wave", runReclaimWave},
        {"engine-crash", runCrash},
        {"store-down", runStoreDown},
        {"lost-reply", runLostReply},
        {"cold-endpoint", runCold},
        {"domain-out", runDomainOut},
        {"planned-stop", runPlannedStop},
        {"engine-refuses", runEngineRefusal},
    };
    return scenarios;
}

bool finish(std::ostream &out, bool passed)
{
    out << (passed ? "Every answer was complete and correct.\n" : "At least one check failed; see the lines marked WRONG.\n");
    return passed;
}

} // namespace

std::vector<std::string> demoFaults()
{
    std::vector<std::string> names;
    for (const auto &[name, run] : faultScenarios()) {
        names.push_back(name);
    }
    return names;
}

bool runDemoScenarios(std::ostream &out)
{
    deployment target;
    if (!target.waitReady()) {
        out << "the daemons did not become ready in time\n";
        return false;
    }
    out << "Two daemons, two failure domains, two model engines, two plain services:\n";
    bool passed = runChat(out, target);
    passed = runStock(out, target) && passed;
    passed = runOrder(out, target) && passed;
    return finish(out, passed);
}

bool runFaultScenario(std::ostream &out, const std::string &name)
{
    const auto found = faultScenarios().find(name);
    if (found == faultScenarios().end()) {
        throw error(error_kind::BadRequest, "'" + name + "' is not a known demo fault");
    }
    deployment_options options;
    options.engine.betweenTokens = 10ms;
    deployment target(options);
    if (!target.waitReady()) {
        out << "the daemons did not become ready in time\n";
        return false;
    }
    out << name << ":" << std::endl;
    return finish(out, found->second(out, target));
}

void serveDemo(std::ostream &out, const std::function<void()> &waitForStop)
{
    deployment target;
    target.waitReady();
    out << "operator token " << demoOperatorToken << ", client account token " << demoToken << "\n";
    out << "serving on 127.0.0.1:" << target.at(0).gateway().port << std::endl;
    waitForStop();
}

} // namespace chicoryrouter
