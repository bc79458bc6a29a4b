// The demo's scenes: each asks, checks the answer and says what happened.
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

bool report(std::ostream &out, const std::string &what, const http_response &answer, bool good)
{
    out << (good ? "  ok    " : "  WRONG ") << what << ": HTTP " << answer.status << ", request " << findHeader(answer.headers, "X-Request-Id") << "\n";
    return good;
}

bool isWhole(const http_response &answer, const std::string &prompt, unsigned tokens)
{
    return streamEnded(answer.body) && streamedText(answer.body) == standinAnswer(prompt, tokens);
}

bool playChat(std::ostream &out, deployment &all, const std::string &what = "streamed chat, 24 tokens")
{
    const std::string prompt = "Which cord matches teal silk?";
    const http_response answer = all.completion(0, "chat", prompt, chatTokens);
    return report(out, what, answer, isWhole(answer, prompt, chatTokens));
}

bool playStock(std::ostream &out, deployment &all)
{
    const http_response answer = all.plain(1, "GET", "/stock/cord-teal");
    return report(out, "stock lookup", answer, answer.status == 200);
}

bool playOrder(std::ostream &out, deployment &all)
{
    const http_response first = all.plain(0, "POST", "/orders", "order-1", R"({"item":"cord-teal"})");
    const http_response again = all.plain(1, "POST", "/orders", "order-1", R"({"item":"cord-teal"})");
    const bool once = first.status == 200 && again.status == 200 && first.body == again.body && findHeader(again.headers, "X-Replayed") == "1";
    report(out, "order", first, first.status == 200);
    return report(out, "the same order again, at another daemon: the first answer, not a second order", again, once);
}

// ---- Faults: each disturbs a deployment with slow engines under an open stream, and tells what callers saw

bool playWhile(std::ostream &out, deployment &all, const std::string &what, const std::function<void()> &disturb)
{
    const std::string prompt = "a long pattern";
    auto open = std::async(std::launch::async, [&] { return all.completion(0, "write-up", prompt, longTokens); });
    std::this_thread::sleep_for(300ms);
    disturb();
    const http_response answer = open.get();
    return report(out, what, answer, isWhole(answer, prompt, longTokens));
}

bool playReclaimWave(std::ostream &out, deployment &all)
{
    return playWhile(out, all, "a stream through the reclaim of a whole failure domain", [&] { all.platform().reclaim(all.engineId(0), 1s); });
}

bool playCrash(std::ostream &out, deployment &all)
{
    return playWhile(out, all, "a stream through the unannounced death of an engine", [&] { all.engineAt(0).crash(); });
}

bool playStoreDown(std::ostream &out, deployment &all)
{
    all.store().faults.down = true;
    const bool chat = playChat(out, all, "streamed chat without the key-value service");
    const http_response order = all.plain(0, "POST", "/orders", "order-2", "{}");
    return report(out, "order without the key-value service: refused, not run", order,
               order.status == 503 && order.body.find(R"("ran":"no")") != std::string::npos)
        && chat;
}

bool playLostReply(std::ostream &out, deployment &all)
{
    all.store().faults.loseReplies = 1;
    return playOrder(out, all);
}

bool playCold(std::ostream &out, deployment &all)
{
    all.engineAt(0).resetCache();
    all.engineAt(0).faults.slowFactor = 5;
    return playChat(out, all, "streamed chat while an engine is cold");
}

bool playDomainOut(std::ostream &out, deployment &all)
{
    std::string text = deploymentDocument({});
    const std::string line = "{name: fd-1, region: prairie}";
    text.replace(text.find(line), line.size(), "{name: fd-1, region: prairie, out: true}");
    all.replaceDocument(text);
    const bool inForce = all.waitUntil([&] { return all.at(0).revisionInForce() == 2 && all.at(1).revisionInForce() == 2; }, 3s);
    const std::uint64_t before = all.engineAt(0).generationsStarted();
    const bool chat = playChat(out, all, "streamed chat with failure domain fd-1 taken out");
    const bool untouched = all.engineAt(0).generationsStarted() == before;
    out << (untouched ? "  ok    " : "  WRONG ") << "no new work in fd-1\n";
    return inForce && chat && untouched;
}

bool playPlannedStop(std::ostream &out, deployment &all)
{
    return playWhile(out, all, "a stream through a planned stop of its entry instance", [&] { all.at(0).stop(); });
}

bool playRefusedStart(std::ostream &out, deployment &all)
{
    all.engineAt(0).faults.refuse = true;
    return playChat(out, all, "streamed chat while an engine refuses with proof");
}

using scene = bool (*)(std::ostream &, deployment &);

const std::map<std::string, scene> &faultScenes()
{
    static const std::map<std::string, scene> scenes = {
        {"reclaim-wave", playReclaimWave},
        {"engine-crash", playCrash},
        {"store-down", playStoreDown},
        {"lost-reply", playLostReply},
        {"cold-endpoint", playCold},
        {"domain-out", playDomainOut},
        {"planned-stop", playPlannedStop},
        {"engine-refuses", playRefusedStart},
    };
    return scenes;
}

bool finish(std::ostream &out, bool good)
{
    out << (good ? "Every answer was whole and right.\n" : "Something went wrong.\n");
    return good;
}

} // namespace

std::vector<std::string> demoFaults()
{
    std::vector<std::string> names;
    for (const auto &[name, play] : faultScenes()) {
        names.push_back(name);
    }
    return names;
}

bool runDemoScenarios(std::ostream &out)
{
    deployment all;
    if (!all.waitReady()) {
        out << "the daemons did not become ready\n";
        return false;
    }
    out << "Two daemons, two failure domains, two engines, two shops:\n";
    bool good = playChat(out, all);
    good = playStock(out, all) && good;
    good = playOrder(out, all) && good;
    return finish(out, good);
}

bool runFaultScenario(std::ostream &out, const std::string &name)
{
    const auto found = faultScenes().find(name);
    if (found == faultScenes().end()) {
        throw error(error_kind::BadRequest, "'" + name + "' is no fault of the demo");
    }
    deployment_options options;
    options.engine.betweenTokens = 10ms;
    deployment all(options);
    if (!all.waitReady()) {
        out << "the daemons did not become ready\n";
        return false;
    }
    out << name << ":" << std::endl;
    return finish(out, found->second(out, all));
}

void serveDemo(std::ostream &out, const std::function<void()> &waitForStop)
{
    deployment all;
    all.waitReady();
    out << "operators' token " << demoOperatorToken << ", callers' token " << demoToken << "\n";
    out << "serving on 127.0.0.1:" << all.at(0).gateway().port << std::endl;
    waitForStop();
}

} // namespace chicoryrouter
