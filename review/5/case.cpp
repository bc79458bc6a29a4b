// Orders at two replicas. One of them is stopped as planned: it reports that it drains, says so in all its answers, and ends some seconds
// later. The machine that takes the orders is cut off from the store meanwhile.
#include "../stage/stage.h"

#include <iostream>

using namespace stage;
using namespace std::chrono_literals;

namespace {

constexpr auto cutAt = 4s;       // from the first order on
constexpr auto cutFor = 5500ms;  // for_s of `core_cut` on the site
constexpr auto drainAt = 4200ms; // the replica reports that it drains, and says so in its answers
constexpr auto endAt = 8500ms;   // and ends: DrainMs after its report, and a little longer
constexpr auto playTime = 12s;
constexpr auto drainBound = 2000ms; // DrainMs
constexpr milliseconds workTime = 60ms;
constexpr auto orderEach = 25ms;

struct arrival
{
    std::string id;
    clock::time_point at;
};

class replica
{
public:
    replica(deployment &all, std::string id, const char *zone, int ip)
        : m_all(all)
        , m_id(std::move(id))
        , m_zone(zone)
        , m_server(all.ipOf(ip), 0, [this](connection &to, const message &request) { return handle(to, request); })
    {
        beat();
    }

    void beat() { m_all.store->put("servers/" + m_id, entry(plainService, m_server.address(), m_zone, 6, ++m_sequence, m_drains ? "draining" : "ready")); }

    void drain()
    {
        m_drains = true;
        beat();
        m_all.log.line(m_id + ": has reported draining; the store has acknowledged it; all its answers say Server-Leaving from now on");
    }

    void end()
    {
        m_ended = true;
        m_server.close();
        m_all.store->remove("servers/" + m_id);
        m_all.log.line(m_id + ": has ended");
    }

    std::vector<arrival> arrivals()
    {
        const std::lock_guard guard(m_lock);
        return m_arrivals;
    }

private:
    bool handle(connection &to, const message &request)
    {
        const std::string id = header(request.fields, "X-Request-Id");
        if (header(request.fields, "X-Target-Instance") != m_id) {
            return to.send(answerText(421, {{"X-Instance-Id", m_id}}, ""));
        }
        {
            const std::lock_guard guard(m_lock);
            m_arrivals.push_back({id, clock::now()});
        }
        m_all.log.line(m_id + ": runs " + id);
        std::this_thread::sleep_for(workTime);
        if (m_ended) {
            return false;
        }
        headers fields = {{"X-Request-Id", id}, {"X-Response-Seal", m_id + "." + id}};
        if (m_drains) {
            fields.emplace_back("Server-Leaving", "1");
        }
        return to.send(answerText(200, fields, "done by " + m_id));
    }

    deployment &m_all;
    std::string m_id;
    const char *m_zone;
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_drains{false};
    std::atomic<bool> m_ended{false};
    std::mutex m_lock;
    std::vector<arrival> m_arrivals;
    server m_server; // last
};

struct asked
{
    std::string id;
    clock::time_point sent;
    clock::time_point ended;
    int status = 0;
    bool saysLeaving = false;
};

asked order(deployment &all, const machine &to)
{
    asked item;
    item.id = all.nextId();
    item.sent = clock::now();
    message answer;
    if (const auto open = to.connect()) {
        open->setReadTimeout(4s);
        open->send(requestText("POST", orderPath, item.id, 3000, {}, "one table"));
        answer = open->readAnswer();
    }
    item.ended = clock::now();
    item.status = answer.complete ? answer.status : 0;
    item.saysLeaving = !header(answer.fields, "Server-Leaving").empty();
    all.log.line("client: order " + item.id + " is answered " + std::to_string(item.status) + (item.saysLeaving ? ", Server-Leaving" : ""));
    return item;
}

int play(int argc, char **argv)
{
    deployment all(argc, argv, 1);
    replica leaving(all, "i-7f3a91c2", zones[0], 30);
    replica other(all, "i-02d9e6b4", zones[1], 31);
    all.startMachines();
    const machine &only = *all.machines.front();
    const clock::time_point start = clock::now();
    std::thread platformPart([&] {
        std::this_thread::sleep_until(start + cutAt);
        all.storeLinks.front()->cut = all.trouble();
        all.log.line(all.trouble() ? only.name() + ": is cut off from the store" : "no cut");
        std::this_thread::sleep_until(start + drainAt);
        leaving.drain();
        std::this_thread::sleep_until(start + endAt);
        leaving.end();
        std::this_thread::sleep_until(start + cutAt + cutFor);
        all.storeLinks.front()->cut = false;
        all.log.line("the cut has healed");
    });
    std::vector<asked> done;
    std::mutex lock;
    std::vector<std::thread> orders;
    int beats = 0;
    while (clock::now() < start + playTime) {
        std::this_thread::sleep_for(orderEach);
        orders.emplace_back([&] {
            const asked item = order(all, only);
            const std::lock_guard guard(lock);
            done.push_back(item);
        });
        if (++beats % 40 == 0) {
            other.beat();
            if (clock::now() < start + drainAt - 500ms) {
                leaving.beat();
            }
        }
    }
    for (std::thread &item : orders) {
        item.join();
    }
    platformPart.join();
    clock::time_point told = clock::time_point::max(); // when the machine had first passed on an answer with Server-Leaving
    for (const asked &item : done) {
        told = item.saysLeaving ? std::min(told, item.ended) : told;
    }
    std::map<std::string, asked> byId;
    for (const asked &item : done) {
        byId[item.id] = item;
    }
    int late = 0;
    int answered = 0;
    int lost = 0;
    for (const asked &item : done) {
        answered += item.status == 200 ? 1 : 0;
    }
    for (const arrival &item : leaving.arrivals()) {
        const asked &from = byId[item.id];
        if (told != clock::time_point::max() && from.sent > told + drainBound) {
            ++late;
            lost += from.status == 200 ? 0 : 1;
            const auto after = std::chrono::duration_cast<milliseconds>(from.sent - told).count();
            all.log.line("DRAIN is broken: order " + item.id + ", sent " + std::to_string(after)
                + " ms after the machine had passed on an answer with Server-Leaving, reached the replica; it is answered " + std::to_string(from.status));
        }
    }
    const std::string sum = "orders sent " + std::to_string(done.size()) + ", answered 200 " + std::to_string(answered)
        + "; reached the leaving replica too late " + std::to_string(late) + ", of these lost in its end " + std::to_string(lost);
    all.log.line(sum);
    std::cout << sum << "\n";
    if (answered == 0 || told == clock::time_point::max()) {
        // Without an answer that says Server-Leaving there is nothing to judge; without the cut the daemon may be told by the store first.
        return answered == 0 ? could_not_run : held;
    }
    return late > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return stage::run([&] { return play(argc, argv); });
}
