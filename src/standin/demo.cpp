// The demo's scenes: each asks, checks the answer and says what happened.
#include "standin/demo.h"

#include "standin/deployment.h"

#include <ostream>

namespace chicoryrouter {

namespace {

constexpr unsigned chatTokens = 24;

bool report(std::ostream &out, const char *what, const http_response &answer, bool good)
{
    out << (good ? "  ok    " : "  WRONG ") << what << ": HTTP " << answer.status << ", request " << findHeader(answer.headers, "X-Request-Id") << "\n";
    return good;
}

bool playChat(std::ostream &out, deployment &all)
{
    const std::string prompt = "Which cord matches teal silk?";
    const http_response answer = all.completion(0, "chat", prompt, chatTokens);
    const bool whole = streamEnded(answer.body) && streamedText(answer.body) == standinAnswer(prompt, chatTokens);
    return report(out, "streamed chat, 24 tokens", answer, whole);
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

} // namespace

bool playDemo(std::ostream &out)
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
    out << (good ? "Every answer was whole and right.\n" : "Something went wrong.\n");
    return good;
}

} // namespace chicoryrouter
