// The cases of this review that are scripts: `stage-3 NAME FOLDER` plays one against real routers and writes FOLDER/record.txt.
#include "stage.h"

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace {

using namespace stage;

// A deployment with one router; a case adds its replicas.
struct deployment
{
    explicit deployment(const std::string &folder)
        : log(folder + "/record.txt")
        , work("/tmp/chicory-review-3-" + std::to_string(getpid()))
        , platformStore(log)
        , duties(log)
    {
        std::filesystem::create_directories(work);
        log.line(withTrouble() ? "with the disruption" : "without the disruption");
    }
    ~deployment()
    {
        routers.clear();
        std::error_code ignored;
        std::filesystem::remove_all(work, ignored);
    }

    router &addRouter(const std::string &name, const std::string &zone)
    {
        routers.push_back(std::make_unique<router>(name, zone, work, platformStore.port(), duties.port()));
        routers.back()->start();
        return *routers.back();
    }

    record log;
    std::string work;
    store platformStore;
    duty_api duties;
    std::vector<std::unique_ptr<router>> routers;
};

std::string ownHeaders(const std::string &id)
{
    return "X-Request-Id: " + id + "\r\nX-Response-Seal: seal-of-" + id + "\r\n";
}

std::string firstBytes(const std::string &text)
{
    std::string shown = text.substr(0, 160);
    for (char &letter : shown) {
        letter = letter == '\r' || letter == '\n' ? '|' : letter;
    }
    return shown;
}

void logAnswer(record &log, const std::string &id, const std::optional<http_message> &answer)
{
    log.line("client " + id
        + (answer ? ": " + answer->firstLine + ", seal '" + answer->header("X-Response-Seal") + "', body '" + firstBytes(answer->body) + "'"
                  : ": no whole answer"));
}

// How often each request ran, by its id.
class run_counts
{
public:
    int add(const std::string &id)
    {
        const std::lock_guard guard(m_lock);
        return ++m_runs[id];
    }
    int of(const std::string &id)
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? 0 : found->second;
    }
    std::map<std::string, int> all()
    {
        const std::lock_guard guard(m_lock);
        return m_runs;
    }

private:
    std::mutex m_lock;
    std::map<std::string, int> m_runs;
};

// ---- Case 11: bytes after an answer that look like a refusal ---------------------------------------------------------------------------

// Twelve orders, one after the other, on one kept connection of a client. With the disruption, each replica sends bytes after its complete answer:
// they come late, at the point where the next answer is expected, and look like the answer of a replica that is full.
int refusalOfNoRequest(const std::string &folder)
{
    deployment all(folder);
    run_counts runs;
    const auto talk = [&](const std::string &name) {
        return [&, name](connection &item) {
            bool answeredBefore = false;
            while (const auto call = item.read(600s)) {
                const std::string id = call->header("X-Request-Id");
                if (withTrouble() && answeredBefore) {
                    all.log.line(name + ": bytes that belong to no request, after its answer to an earlier one");
                    item.send("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                }
                all.log.line(name + " runs " + id + ", time " + std::to_string(runs.add(id)));
                sleepFor(60ms);
                if (!item.send(answerText(200, ownHeaders(id), "placed " + id))) {
                    return;
                }
                answeredBefore = true;
            }
        };
    };
    listener first(talk("replica i-1"));
    listener second(talk("replica i-2"));
    all.platformStore.put(
        "op/config", configuration(1, json::array({route("orders", "/order/", "non_idempotent", "shop", 3000, 300)}), json::array({plainService("shop")})));
    all.platformStore.put("servers/i-1", entry("shop", first.port(), "west-a", 1));
    all.platformStore.put("servers/i-2", entry("shop", second.port(), "west-b", 1));
    const router &one = all.addRouter("edge-1", "west-a");
    if (!one.isReady(10s)) {
        return couldNotRun;
    }
    sleepFor(500ms);
    const auto client = connectTo(one.front());
    for (int i = 0; i < 12; ++i) {
        const std::string id = "order-" + std::to_string(i);
        all.log.line("client sends " + id);
        client->send(requestText("POST", "/order/place", id, 3000, "40 m of cord"));
        logAnswer(all.log, id, client->read(4s));
        sleepFor(50ms);
    }
    sleepFor(500ms);
    int twice = 0;
    int once = 0;
    for (const auto &[id, count] : runs.all()) {
        once += count == 1 ? 1 : 0;
        twice += count > 1 ? 1 : 0;
    }
    all.log.line("orders that ran once: " + std::to_string(once) + ", more than once: " + std::to_string(twice));
    return twice > 0 ? ruleBroken : once > 0 ? ruleHeld : couldNotRun;
}

// ---- Case 13: an answer without end ----------------------------------------------------------------------------------------------------

constexpr long memoryLimitMb = 260;

// The platform's part for one machine: a process over its memory is killed and started again after a short delay.
class memory_guard
{
public:
    memory_guard(record &log, router &guarded)
        : m_thread([this, &log, &guarded] {
            while (!m_over) {
                const long resident = guarded.residentMb();
                m_most = std::max<long>(m_most, resident);
                if (resident > memoryLimitMb) {
                    log.line("platform: " + guarded.name() + " has " + std::to_string(resident) + " MB, over its " + std::to_string(memoryLimitMb)
                        + " MB, and is killed");
                    guarded.kill();
                    ++m_ends;
                    sleepFor(500ms);
                    guarded.start();
                    log.line("platform: " + guarded.name() + " starts again");
                } else if (!guarded.runs()) {
                    log.line("platform: " + guarded.name() + " has ended by itself");
                    ++m_ends;
                    guarded.start();
                }
                sleepFor(20ms);
            }
        })
    {
    }
    ~memory_guard()
    {
        m_over = true;
        m_thread.join();
    }
    memory_guard(const memory_guard &) = delete;
    memory_guard &operator=(const memory_guard &) = delete;
    [[nodiscard]] int ends() const { return m_ends; }
    [[nodiscard]] long most() const { return m_most; }

private:
    std::atomic<bool> m_over{false};
    std::atomic<int> m_ends{0};
    std::atomic<long> m_most{0};
    std::thread m_thread;
};

// Two machines, each with a client that asks for a chat of at most 80 tokens again and again, and one that places orders. With the disruption, the
// model's replica is in trouble: its answers have no end until the caller closes.
int answerWithoutEnd(const std::string &folder)
{
    constexpr int endsForFault = 3;
    constexpr auto longest = 80s;
    deployment all(folder);
    run_counts runs;
    listener model([&](connection &item) {
        while (const auto call = item.read(600s)) {
            const std::string id = call->header("X-Request-Id");
            all.log.line("model replica runs " + id);
            item.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + ownHeaders(id) + "Transfer-Encoding: chunked\r\n\r\n");
            std::uint64_t next = 1;
            bool open = true;
            while (open && (withTrouble() || next <= 58)) {
                std::string events;
                for (int i = 0; i < (withTrouble() ? 2000 : 1); ++i) {
                    events += "id:" + std::to_string(next++) + "\n\n";
                }
                open = item.send(chunk(events));
            }
            if (!open) {
                all.log.line("model replica: its caller closed " + id + " after " + std::to_string(next - 1) + " events");
                return;
            }
            item.send(lastChunk);
        }
    });
    listener shop([&](connection &item) {
        while (const auto call = item.read(600s)) {
            const std::string id = call->header("X-Request-Id");
            runs.add(id);
            sleepFor(60ms);
            if (!item.send(answerText(200, ownHeaders(id), "placed " + id))) {
                return;
            }
        }
    });
    all.platformStore.put("op/config",
        configuration(1,
            json::array({route("chats", "/chat/", "streaming", "lm", 15000, 500), route("orders", "/order/", "non_idempotent", "shop", 3000, 300)}),
            json::array({modelService("lm"), plainService("shop")})));
    all.platformStore.put("servers/i-lm", entry("lm", model.port(), "west-a", 1));
    all.platformStore.put("servers/i-shop", entry("shop", shop.port(), "west-a", 1));
    all.addRouter("edge-1", "west-a");
    all.addRouter("edge-2", "west-b");
    for (const auto &each : all.routers) {
        if (!each->isReady(10s)) {
            return couldNotRun;
        }
    }
    sleepFor(500ms);
    std::atomic<bool> over{false};
    std::atomic<int> chats{0};
    std::atomic<int> placed{0};
    std::atomic<int> lost{0};
    std::list<std::thread> clients;
    std::list<memory_guard> guards;
    for (const auto &each : all.routers) {
        guards.emplace_back(all.log, *each);
        clients.emplace_back([&, port = each->front(), name = each->name()] {
            for (int i = 0; !over; ++i) {
                const std::string id = "chat-" + name + "-" + std::to_string(i);
                const auto item = connectTo(port);
                if (item == nullptr) {
                    sleepFor(100ms);
                    continue;
                }
                item->send(requestText("POST", "/chat/ask", id, 15000, "which cord?", "X-Model: m\r\nX-Token-Usage: 1460,80\r\n"));
                const auto until = clock_type::now() + 15s;
                std::size_t bytes = 0;
                std::string tail;
                while (!over && clock_type::now() < until && !item->ended() && tail.find(lastChunk) == std::string::npos) {
                    item->fill(200ms);
                    bytes += item->input.size();
                    tail = (tail + item->input).substr(tail.size() + item->input.size() - std::min<std::size_t>(tail.size() + item->input.size(), 64));
                    item->input.clear();
                }
                ++chats;
                all.log.line("client " + id + ": " + std::to_string(bytes) + " bytes" + (item->ended() ? ", then the connection ends" : ""));
                sleepFor(300ms);
            }
        });
        clients.emplace_back([&, port = each->front(), name = each->name()] {
            for (int i = 0; !over; ++i) {
                const std::string id = "order-" + name + "-" + std::to_string(i);
                const auto item = connectTo(port);
                if (item == nullptr) {
                    sleepFor(50ms);
                    continue;
                }
                item->send(requestText("POST", "/order/place", id, 3000, "cord"));
                const auto answer = item->read(4s);
                placed += answer && answer->status() == 200 ? 1 : 0;
                if (!answer && runs.of(id) > 0) {
                    ++lost;
                    all.log.line("client " + id + ": it ran, and the connection ends without an answer");
                }
                sleepFor(20ms);
            }
        });
    }
    const auto allEnded = [&] {
        return std::all_of(guards.begin(), guards.end(), [](const memory_guard &each) { return each.ends() >= endsForFault; });
    };
    const auto until = clock_type::now() + (withTrouble() ? std::chrono::seconds(longest) : 15s);
    while (clock_type::now() < until && !allEnded()) {
        sleepFor(50ms);
    }
    const bool broken = allEnded();
    over = true;
    for (std::thread &item : clients) {
        item.join();
    }
    std::string ends;
    for (const memory_guard &each : guards) {
        ends += (ends.empty() ? "" : "; ") + std::to_string(each.ends()) + " ends, " + std::to_string(each.most()) + " MB at most";
    }
    guards.clear();
    all.log.line("the machines: " + ends);
    all.log.line(
        "chats " + std::to_string(chats) + ", orders placed " + std::to_string(placed) + ", orders that ran and were never answered " + std::to_string(lost));
    return broken ? ruleBroken : chats > 0 && placed > 0 ? ruleHeld : couldNotRun;
}

// ---- Case 14: an entry from another writer ---------------------------------------------------------------------------------------------

// Two services of one replica each, which write their entries every 1.2 s. With the disruption, another writer writes once over the entry of the
// replica of `shop`: `Sequence` is missing, `ColdRemainingMs` is a text, and the service is `bank`. Orders for `bank` are sent until the replica's
// own next entry.
int entryOfAnotherWriter(const std::string &folder)
{
    constexpr auto heartbeat = 1200ms;
    deployment all(folder);
    std::atomic<int> wrong{0};
    std::atomic<int> right{0};
    const auto talk = [&](const std::string &name, const std::string &service, const std::string &prefix) {
        return [&, name, service, prefix](connection &item) {
            while (const auto call = item.read(600s)) {
                const std::string id = call->header("X-Request-Id");
                if (call->header("X-Target-Instance") != name) {
                    all.log.line(name + " is not " + call->header("X-Target-Instance") + ": 421 for " + id);
                    item.send(answerText(421, "X-Instance-Id: " + name + "\r\n", ""));
                    continue;
                }
                const bool own = call->target().rfind(prefix, 0) == 0;
                ++(own ? right : wrong);
                all.log.line(
                    name + ", a replica of " + service + ", runs " + id + ": " + call->firstLine + (own ? "" : ", which no configuration sends to " + service));
                sleepFor(20ms);
                item.send(answerText(200, ownHeaders(id), "done by " + name));
            }
        };
    };
    listener shop(talk("i-shop", "shop", "/stock/"));
    listener bank(talk("i-bank", "bank", "/order/"));
    all.platformStore.put("op/config",
        configuration(1,
            json::array({route("stock", "/stock/", "idempotent", "shop", 3000, 300), route("orders", "/order/", "non_idempotent", "bank", 3000, 300)}),
            json::array({plainService("shop"), plainService("bank")})));
    std::atomic<bool> over{false};
    std::mutex written;
    std::condition_variable beat;
    int sequence = 0;
    const auto writeEntries = [&] {
        const std::lock_guard guard(written);
        ++sequence;
        all.platformStore.put("servers/i-shop", entry("shop", shop.port(), "west-a", sequence));
        all.platformStore.put("servers/i-bank", entry("bank", bank.port(), "west-a", sequence));
        beat.notify_all();
    };
    writeEntries();
    std::thread beats([&] {
        while (!over) {
            sleepFor(heartbeat);
            writeEntries();
        }
    });
    const router &one = all.addRouter("edge-1", "west-a");
    const bool ready = one.isReady(10s);
    if (ready) {
        sleepFor(500ms);
        {
            std::unique_lock guard(written);
            beat.wait_for(guard, 3s);
        }
        if (withTrouble()) {
            json other = entry("bank", shop.port(), "west-a", 0);
            other.erase("Sequence");
            other["ColdRemainingMs"] = "soon";
            all.platformStore.put("servers/i-shop", other);
            all.log.line("another writer: servers/i-shop = " + other.dump());
        }
        sleepFor(300ms);
        const auto client = connectTo(one.front());
        for (int i = 0; i < 20; ++i) {
            const std::string id = "order-" + std::to_string(i);
            all.log.line("client sends " + id);
            client->send(requestText("POST", "/order/pay", id, 3000, "80 francs"));
            logAnswer(all.log, id, client->read(4s));
        }
    }
    over = true;
    beats.join();
    all.log.line("requests run by their own service: " + std::to_string(right) + ", by another one: " + std::to_string(wrong));
    return wrong > 0 ? ruleBroken : ready && right > 0 ? ruleHeld : couldNotRun;
}

// ---- Case 15: a stream of a service without an engine that is broken off ---------------------------------------------------------------

// Three streams on a `streaming` route of a plain service, each answered without a length, so that it ends with its connection. With the disruption,
// the replica crashes inside the fourth of six events.
int brokenStream(const std::string &folder)
{
    deployment all(folder);
    listener feed([&](connection &item) {
        const auto call = item.read(600s);
        if (!call) {
            return;
        }
        const std::string id = call->header("X-Request-Id");
        all.log.line("replica runs " + id);
        item.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + ownHeaders(id) + "Connection: close\r\n\r\n");
        for (int i = 1; i <= 6; ++i) {
            const std::string event = "id: " + std::to_string(i) + "\ndata: count of " + id + " at step " + std::to_string(i) + "\n\n";
            const bool crashes = withTrouble() && i == 4;
            item.send(crashes ? event.substr(0, event.size() / 2) : event);
            if (crashes) {
                all.log.line("replica crashes inside event 4 of " + id);
                return;
            }
            sleepFor(50ms);
        }
        all.log.line("replica ends " + id + " after event 6");
    });
    all.platformStore.put(
        "op/config", configuration(1, json::array({route("feed", "/feed/", "streaming", "counts", 5000, 500)}), json::array({plainService("counts")})));
    all.platformStore.put("servers/i-1", entry("counts", feed.port(), "west-a", 1));
    const router &one = all.addRouter("edge-1", "west-a");
    if (!one.isReady(10s)) {
        return couldNotRun;
    }
    sleepFor(500ms);
    int broken = 0;
    int whole = 0;
    for (int i = 0; i < 3; ++i) {
        const std::string id = "stream-" + std::to_string(i);
        const auto client = connectTo(one.front());
        client->send(requestText("POST", "/feed/counts", id, 5000, "cranes"));
        const auto answer = client->read(6s);
        logAnswer(all.log, id, answer);
        const bool complete = answer && answer->status() == 200;
        const bool hasLast = answer && answer->body.find("at step 6\n\n") != std::string::npos;
        broken += complete && !hasLast ? 1 : 0;
        whole += complete && hasLast ? 1 : 0;
        sleepFor(100ms);
    }
    all.log.line("streams that ended as complete with all events: " + std::to_string(whole) + ", without the last ones: " + std::to_string(broken));
    return broken > 0 ? ruleBroken : withTrouble() || whole > 0 ? ruleHeld : couldNotRun;
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<int(const std::string &)>> cases = {
        {"11", refusalOfNoRequest},
        {"13", answerWithoutEnd},
        {"14", entryOfAnotherWriter},
        {"15", brokenStream},
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: stage-3 NUMBER FOLDER\n";
        return couldNotRun;
    }
    try {
        return found->second(argv[2]);
    } catch (const std::exception &fault) {
        std::cerr << "stage-3: " << fault.what() << "\n";
        return couldNotRun;
    }
}
