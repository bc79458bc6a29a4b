// Orders at a plain service with two replicas, of which one leaves as planned after half of the time. Each second they are full for a moment
// and refuse, as replicas do; in the second half a place becomes free as soon as an order has been refused. In windows of 5 s the replica that
// stays also sends an extra copy of some of its answers, late: where the next answer on the connection is expected.
#include "../stage/stage.h"

#include <algorithm>
#include <iostream>
#include <set>

using namespace stage;
using namespace std::chrono_literals;

namespace {

constexpr int playS = 40;
constexpr int leavesAtS = 21;   // one of the replicas
constexpr int firstWindowS = 5; // a window of copies begins here, and every windowEachS seconds
constexpr int windowEachS = 10;
constexpr int windowS = 5;             // length of a window
constexpr double mostCopies = 0.03;    // of the answers that the replica gives in a window
constexpr milliseconds fullFor = 60ms; // at the begin of each second, other callers hold all places of the replicas
constexpr milliseconds orderAt = 20ms; // in each second
constexpr milliseconds workTime = 20ms;
constexpr std::size_t lookers = 8;

struct run_list
{
    void add(const std::string &id)
    {
        const std::lock_guard guard(lock);
        ++counts[id];
    }
    int of(const std::string &id)
    {
        const std::lock_guard guard(lock);
        const auto found = counts.find(id);
        return found == counts.end() ? 0 : found->second;
    }
    std::mutex lock;
    std::map<std::string, int> counts;
};

struct timing
{
    clock::time_point start = clock::now();
    [[nodiscard]] milliseconds now() const { return std::chrono::duration_cast<milliseconds>(clock::now() - start); }
    [[nodiscard]] int window() const // number of the open window; -1: none
    {
        const int second = static_cast<int>(now().count() / 1000);
        const int since = second - firstWindowS;
        return since >= 0 && since % windowEachS < windowS ? since / windowEachS : -1;
    }
    [[nodiscard]] bool secondHalf() const { return now() >= std::chrono::seconds(leavesAtS); }
    [[nodiscard]] bool full() const { return now() % 1000ms < fullFor; }
};

class replica
{
public:
    replica(deployment &all, const timing &time, run_list &runs, std::string id, const char *zone, int ip, bool copies)
        : m_all(all)
        , m_time(time)
        , m_runs(runs)
        , m_id(std::move(id))
        , m_zone(zone)
        , m_copies(copies)
        , m_server(all.ipOf(ip), 0, [this](connection &to, const message &request) { return handle(to, request); })
    {
        beat();
    }

    void beat() { m_all.store->put("servers/" + m_id, entry(plainService, m_server.address(), m_zone, 6, ++m_sequence)); }
    void leave()
    {
        m_all.store->put("servers/" + m_id, entry(plainService, m_server.address(), m_zone, 6, ++m_sequence, "draining"));
        m_all.log.line(m_id + ": has reported draining, and the store has acknowledged it");
    }

    [[nodiscard]] int copiesSent() const { return m_copiesSent; }

private:
    bool handle(connection &to, const message &request)
    {
        const std::string id = header(request.fields, "X-Request-Id");
        if (header(request.fields, "X-Target-Instance") != m_id) {
            return to.send(answerText(421, {{"X-Instance-Id", m_id}}, ""));
        }
        const std::string copy = takeCopy(to);
        if (!copy.empty()) {
            ++m_copiesSent;
            m_all.log.line(m_id + ": sends an extra copy of its last answer on this connection, before it answers " + id);
            to.send(copy);
        }
        const bool order = request.method() == "POST";
        if (m_time.full() && !(order && m_time.secondHalf() && isRepeated(id))) {
            const std::string refusal = answerText(503, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}, "full");
            if (order) {
                m_all.log.line(m_id + ": refuses " + id + ", 503 X-Not-Executed");
            }
            const bool open = to.send(refusal);
            afterAnswer(to, refusal, order);
            return open;
        }
        m_runs.add(id);
        if (order) {
            m_all.log.line(m_id + ": RUNS " + id);
        }
        std::this_thread::sleep_for(workTime);
        const bool open = to.send(answerText(200, {{"X-Request-Id", id}, {"X-Response-Seal", m_id + "." + id}}, "done by " + m_id));
        afterAnswer(to, {}, false);
        return open;
    }

    // Counts the answer. A copy of a refused order's answer is kept if the limit of the window allows one more.
    void afterAnswer(const connection &to, const std::string &answer, bool mayCopy)
    {
        const int window = m_time.window();
        const std::lock_guard guard(m_lock);
        if (window != m_window) {
            m_window = window;
            m_answers = 0;
            m_kept = 0;
        }
        ++m_answers;
        const bool allowed = m_copies && m_all.trouble() && window >= 0 && m_kept + 1 <= mostCopies * m_answers;
        if (mayCopy && allowed) {
            ++m_kept;
            m_pending[&to] = answer;
        }
    }

    // Whether the order has been refused here before.
    bool isRepeated(const std::string &id)
    {
        const std::lock_guard guard(m_lock);
        return !m_refused.insert(id).second;
    }

    std::string takeCopy(const connection &to)
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_pending.find(&to);
        if (found == m_pending.end()) {
            return {};
        }
        std::string copy = std::move(found->second);
        m_pending.erase(found);
        return copy;
    }

    deployment &m_all;
    const timing &m_time;
    run_list &m_runs;
    std::string m_id;
    const char *m_zone;
    bool m_copies;
    std::atomic<int> m_sequence{0};
    std::set<std::string> m_refused; // in the second half
    std::mutex m_lock;
    std::map<const connection *, std::string> m_pending; // copies to send before the next answer on their connections
    int m_window = -1;
    int m_answers = 0; // in this window
    int m_kept = 0;    // copies in this window
    std::atomic<int> m_copiesSent{0};
    server m_server; // last
};

struct asked
{
    std::string id;
    int status = 0;
};

// Sends an order; after a promise that it has not run, the client sends it again once, as a new request.
void order(deployment &all, const machine &to, std::vector<asked> &done, std::mutex &lock)
{
    std::string former;
    for (int attempt = 0; attempt < 2; ++attempt) {
        const std::string id = all.nextId();
        all.log.line("client: order " + id + (former.empty() ? "" : ", again after " + former) + " to " + to.name());
        message answer;
        if (const auto open = to.connect()) {
            open->setReadTimeout(4s);
            open->send(requestText("POST", orderPath, id, 3000, {}, "one table"));
            answer = open->readAnswer();
        }
        const std::string wait = header(answer.fields, "Retry-After");
        all.log.line("client: order " + id + " is answered " + std::to_string(answer.status) + (answer.complete ? "" : " (incomplete)") + " " + answer.body);
        {
            const std::lock_guard guard(lock);
            done.push_back({id, answer.status});
        }
        const bool promised = answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421;
        if (!promised) {
            return;
        }
        former = id;
        std::this_thread::sleep_for(std::chrono::duration<double>(std::min(std::strtod(wait.c_str(), nullptr), 1.0)));
    }
}

int play(int argc, char **argv)
{
    deployment all(argc, argv, 2);
    timing time;
    run_list runs;
    replica first(all, time, runs, "i-7f3a91c2", zones[0], 30, true);
    replica second(all, time, runs, "i-02d9e6b4", zones[1], 31, false);
    all.startMachines();
    time.start = clock::now() - 500ms;
    std::atomic<bool> going{true};
    std::vector<std::thread> threads;
    threads.emplace_back([&] {
        while (going) {
            std::this_thread::sleep_for(1200ms);
            first.beat();
            if (!time.secondHalf()) {
                second.beat();
            }
        }
    });
    std::atomic<int> looks{0};
    for (std::size_t i = 0; i < lookers; ++i) {
        threads.emplace_back([&, i] {
            const auto open = all.machines[i % 2]->connect();
            while (going && open != nullptr) {
                const milliseconds at = time.now() % 1000ms;
                if (at < 250ms || at > 900ms) {
                    std::this_thread::sleep_for(5ms);
                    continue;
                }
                open->setReadTimeout(4s);
                open->send(requestText("GET", lookPath, all.nextId(), 3000));
                looks += open->readAnswer().status == 200 ? 1 : 0;
            }
        });
    }
    std::vector<asked> done;
    std::mutex lock;
    std::vector<std::thread> orders;
    for (int second_ = 1; second_ < playS; ++second_) {
        std::this_thread::sleep_until(time.start + std::chrono::seconds(second_) + orderAt);
        if (second_ == leavesAtS) {
            second.leave();
        }
        orders.emplace_back([&, second_] { order(all, *all.machines[static_cast<std::size_t>(second_) % 2], done, lock); });
    }
    for (std::thread &item : orders) {
        item.join();
    }
    std::this_thread::sleep_for(2s);
    going = false;
    for (std::thread &item : threads) {
        item.join();
    }
    int refusedAndRun = 0;
    int twice = 0;
    int answered = 0;
    for (const asked &item : done) {
        const int count = runs.of(item.id);
        const bool promised = item.status == 503 || item.status == 429 || item.status == 408 || item.status == 421;
        answered += item.status == 200 ? 1 : 0;
        if (promised && count > 0) {
            ++refusedAndRun;
            all.log.line("REFUSED is broken: order " + item.id + " was answered " + std::to_string(item.status) + " and has run");
        }
        if (count > 1) {
            ++twice;
            all.log.line("TWICE is broken: order " + item.id + " ran " + std::to_string(count) + " times");
        }
    }
    const std::string sum = "orders sent " + std::to_string(done.size()) + ", answered 200 " + std::to_string(answered) + ", lookups answered "
        + std::to_string(looks) + ", extra copies " + std::to_string(first.copiesSent()) + "; refused and run " + std::to_string(refusedAndRun) + ", run twice "
        + std::to_string(twice);
    all.log.line(sum);
    std::cout << sum << "\n";
    if (answered == 0 || looks == 0) {
        return could_not_run;
    }
    return refusedAndRun + twice > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return stage::run([&] { return play(argc, argv); });
}
