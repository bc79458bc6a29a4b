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

// ---- Doses -----------------------------------------------------------------------------------------------------------------------------

constexpr double garbleShare = 0.03;    // of a replica's answers, the most that the site file has
constexpr auto garbleWindow = 5000ms;   // and for so long at a time
constexpr auto garblePause = 3000ms;    // between two times
constexpr int answersBeforeGarble = 34; // so that the first spoiled answer is within the share

// Says which of a replica's answers are spoiled.
class garble_dose
{
public:
    bool next()
    {
        const std::lock_guard guard(m_lock);
        ++m_answers;
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - m_start) % (garbleWindow + garblePause);
        const bool due = m_answers >= answersBeforeGarble && static_cast<double>(m_spoiled + 1) <= garbleShare * static_cast<double>(m_answers);
        const bool spoils = withTrouble() && due && since < garbleWindow;
        m_spoiled += spoils ? 1 : 0;
        return spoils;
    }
    std::string text()
    {
        const std::lock_guard guard(m_lock);
        return std::to_string(m_spoiled) + " of " + std::to_string(m_answers) + " answers";
    }

private:
    std::mutex m_lock;
    clock_type::time_point m_start = clock_type::now();
    int m_answers = 0;
    int m_spoiled = 0;
};

// ---- Case 11: bytes after an answer that look like a refusal ---------------------------------------------------------------------------

// Eight clients place orders on kept connections for 10 s. With the disruption, one of two replicas sends bytes after some of its complete answers:
// they come late, at the point where the next answer is expected, and look like the answer of a replica that is full.
int refusalOfNoRequest(const std::string &folder)
{
    deployment all(folder);
    run_counts runs;
    garble_dose dose;
    const auto talk = [&](const std::string &name, bool isFaulty) {
        return [&, name, isFaulty](connection &item) {
            bool spoiled = false;
            while (const auto call = item.read(600s)) {
                const std::string id = call->header("X-Request-Id");
                if (spoiled) {
                    all.log.line(name + ": bytes that belong to no request, after its answer to an earlier one; next comes " + id);
                    item.send("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                }
                all.log.line(name + " runs " + id + ", time " + std::to_string(runs.add(id)));
                sleepFor(60ms);
                if (!item.send(answerText(200, ownHeaders(id), "placed " + id))) {
                    return;
                }
                spoiled = isFaulty && dose.next();
            }
        };
    };
    listener first(talk("replica i-1", true));
    listener second(talk("replica i-2", false));
    all.platformStore.put(
        "op/config", configuration(1, json::array({route("orders", "/order/", "non_idempotent", "shop", 3000, 300)}), json::array({plainService("shop")})));
    all.platformStore.put("servers/i-1", entry("shop", first.port(), "west-a", 1));
    all.platformStore.put("servers/i-2", entry("shop", second.port(), "west-a", 1));
    const router &one = all.addRouter("edge-1", "west-a");
    if (!one.isReady(10s)) {
        return couldNotRun;
    }
    sleepFor(500ms);
    std::atomic<bool> over{false};
    std::atomic<int> refusedAndRun{0};
    std::list<std::thread> clients;
    for (int c = 0; c < 8; ++c) {
        clients.emplace_back([&, c] {
            auto client = connectTo(one.front());
            for (int i = 0; !over; ++i) {
                const std::string id = "order-" + std::to_string(c) + "-" + std::to_string(i);
                if (client == nullptr || !client->send(requestText("POST", "/order/place", id, 3000, "40 m of cord"))) {
                    client = connectTo(one.front());
                    continue;
                }
                const auto answer = client->read(4s);
                logAnswer(all.log, id, answer);
                if (answer && answer->status() == 503 && runs.of(id) > 0) {
                    ++refusedAndRun;
                }
                if (!answer || answer->header("Connection") == "close") {
                    client = connectTo(one.front());
                }
                sleepFor(10ms);
            }
        });
    }
    sleepFor(10s);
    over = true;
    for (std::thread &item : clients) {
        item.join();
    }
    sleepFor(300ms);
    int twice = 0;
    int once = 0;
    for (const auto &[id, count] : runs.all()) {
        once += count == 1 ? 1 : 0;
        twice += count > 1 ? 1 : 0;
        if (count > 1) {
            all.log.line(id + " ran " + std::to_string(count) + " times");
        }
    }
    all.log.line("stray bytes after " + dose.text() + " of one replica of two");
    all.log.line("orders that ran once: " + std::to_string(once) + ", more than once: " + std::to_string(twice)
        + "; answered 503 and ran: " + std::to_string(refusedAndRun));
    return twice + refusedAndRun > 0 ? ruleBroken : once > 0 ? ruleHeld : couldNotRun;
}

// ---- Case 13: fencing tokens when all start anew after a return of the store --------------------------------------------------------------

// Two routers. The first leader is stopped as planned, so that the second one leads with a higher token. Then all processes are killed at one moment
// and started again. With the disruption, the store is away meanwhile and comes back from a copy that is some seconds old.
int fenceAfterReturn(const std::string &folder)
{
    constexpr int replicaCount = 22;
    deployment all(folder);
    all.platformStore.stateEra();
    listener replica([](connection &item) {
        while (item.fill(600s)) {
        }
    });
    json model = modelService("lm");
    model["Scaling"] = {{"Min", 1}, {"Max", 20}, {"BootS", 4.0}, {"SpotPrice", 0.18}, {"ZonePrices", {{"west-a", 1.0}, {"west-b", 0.8}}}};
    const auto writeConfiguration = [&] {
        all.platformStore.put("op/config", configuration(1, json::array({route("chats", "/chat/", "streaming", "lm", 15000, 500)}), json::array({model})));
    };
    writeConfiguration();
    std::atomic<bool> over{false};
    std::atomic<bool> away{false};
    int sequence = 0;
    const auto writeEntries = [&] {
        ++sequence;
        for (int i = 0; i < replicaCount; ++i) {
            all.platformStore.put("servers/i-" + std::to_string(i), entry("lm", replica.port(), i % 2 == 0 ? "west-a" : "west-b", sequence));
        }
    };
    writeEntries();
    std::thread beats([&] {
        while (!over) {
            sleepFor(1200ms);
            if (!away) {
                writeEntries();
            }
        }
    });
    router &first = all.addRouter("edge-1", "west-a");
    router &second = all.addRouter("edge-2", "west-b");
    sleepFor(300ms);
    all.platformStore.takeCopy();
    all.log.line("the store's copy is taken at revision " + std::to_string(all.platformStore.revision()));
    const bool ready = first.isReady(10s) && second.isReady(10s);
    sleepFor(4s);
    const auto highest = [&] {
        std::uint64_t fence = 0;
        for (const duty_api::duty_call &call : all.duties.calls()) {
            fence = std::max(fence, call.fence);
        }
        return fence;
    };
    std::string leader = all.platformStore.value("chicory/leader");
    all.log.line("the leader is " + leader + "; it is stopped as planned and started again");
    router &stopped = leader == "edge-1" ? first : second;
    stopped.signal(SIGTERM);
    for (int i = 0; i < 500 && stopped.runs(); ++i) {
        sleepFor(20ms);
    }
    stopped.start();
    const std::size_t before = all.duties.calls().size();
    for (int i = 0; i < 700 && all.duties.calls().size() == before; ++i) {
        sleepFor(20ms);
    }
    sleepFor(300ms);
    const std::uint64_t fenceBefore = highest();
    all.log.line("highest token so far " + std::to_string(fenceBefore) + ", revision " + std::to_string(all.platformStore.revision()));
    all.log.line("all processes are killed");
    away = withTrouble();
    if (withTrouble()) {
        all.platformStore.goAway();
        all.log.line("the store is away");
    }
    for (const auto &each : all.routers) {
        each->kill();
    }
    sleepFor(700ms);
    if (withTrouble()) {
        all.platformStore.comeBackFromCopy();
        all.log.line("the store comes back from its copy, at revision " + std::to_string(all.platformStore.revision()) + "; operator and replicas write again");
        writeConfiguration();
        writeEntries();
        away = false;
    }
    const std::size_t callsBefore = all.duties.calls().size();
    for (const auto &each : all.routers) {
        each->start();
    }
    for (int i = 0; i < 1250 && all.duties.calls().size() == callsBefore; ++i) {
        sleepFor(20ms);
    }
    sleepFor(2s);
    over = true;
    beats.join();
    int lower = 0;
    std::map<std::string, std::uint64_t> seen; // by duty and subject
    for (const duty_api::duty_call &call : all.duties.calls()) {
        const std::string subject = call.line + " " + call.body.value("Service", std::string()) + " " + call.body.value("Zone", std::string());
        lower += call.fence < seen[subject] ? 1 : 0;
        seen[subject] = std::max(seen[subject], call.fence);
    }
    const bool acted = fenceBefore > 0 && all.duties.calls().size() > callsBefore;
    all.log.line("calls with a lower token than one seen for their duty and subject: " + std::to_string(lower));
    return lower > 0 ? ruleBroken : ready && acted ? ruleHeld : couldNotRun;
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

// ---- Case 15: an answer without end ----------------------------------------------------------------------------------------------------

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

// Two machines, each with clients that ask for chats of at most 80 tokens again and again, and one that places orders. With the disruption, two of the
// model's four replicas are in trouble: a few of their answers have no end until the caller closes.
int answerWithoutEnd(const std::string &folder)
{
    constexpr int endsForFault = 3;
    constexpr auto longest = 95s;
    constexpr int chatClients = 5; // for each machine
    deployment all(folder);
    run_counts runs;
    std::array<garble_dose, 4> doses;
    std::list<listener> models;
    for (std::size_t i = 0; i < doses.size(); ++i) {
        models.emplace_back([&, i](connection &item) {
            while (const auto call = item.read(600s)) {
                const std::string id = call->header("X-Request-Id");
                const bool endless = i < 2 && doses.at(i).next();
                item.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + ownHeaders(id) + "Transfer-Encoding: chunked\r\n\r\n");
                std::uint64_t next = 1;
                bool open = true;
                while (open && (endless || next <= 58)) {
                    std::string events;
                    for (int n = 0; n < (endless ? 2000 : 1); ++n) {
                        events += "id:" + std::to_string(next++) + "\n\n";
                    }
                    open = item.send(chunk(events));
                }
                if (endless || !open) {
                    all.log.line("model replica i-lm" + std::to_string(i) + ": its caller closed " + id + " after " + std::to_string(next - 1) + " events");
                    return;
                }
                item.send(lastChunk);
            }
        });
    }
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
    int number = 0;
    for (const listener &each : models) {
        all.platformStore.put("servers/i-lm" + std::to_string(number), entry("lm", each.port(), number % 2 == 0 ? "west-a" : "west-b", 1));
        ++number;
    }
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
        for (int c = 0; c < chatClients; ++c) {
            clients.emplace_back([&, port = each->front(), name = each->name() + "-" + std::to_string(c)] {
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
                    if (tail.find(lastChunk) == std::string::npos) {
                        all.log.line(
                            "client " + id + ": " + std::to_string(bytes) + " bytes without an end" + (item->ended() ? ", then the connection ends" : ""));
                    }
                    sleepFor(30ms);
                }
            });
        }
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
    all.log.line("answers without an end: " + doses.at(0).text() + " and " + doses.at(1).text() + " of two replicas of four");
    all.log.line(
        "chats " + std::to_string(chats) + ", orders placed " + std::to_string(placed) + ", orders that ran and were never answered " + std::to_string(lost));
    return broken ? ruleBroken : chats > 0 && placed > 0 ? ruleHeld : couldNotRun;
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<int(const std::string &)>> cases = {
        {"11", refusalOfNoRequest},
        {"13", fenceAfterReturn},
        {"14", entryOfAnotherWriter},
        {"15", answerWithoutEnd},
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
