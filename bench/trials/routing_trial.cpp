// Engines, prompts and strategies of the routing trial.
#include "trials/routing_trial.h"

#include "chicoryrouter/endpoint_limit.h"
#include "chicoryrouter/hash.h"
#include "chicoryrouter/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>

namespace chicoryrouter::trials {

namespace {

using namespace std::chrono_literals;

constexpr duration trialLength = 600s;
constexpr duration reportInterval = 1s;
constexpr duration firstTokenTarget = 730ms;
constexpr double prefillSecondsPerToken = 0.00012;
constexpr double secondsPerToken = 0.028;
constexpr std::uint32_t prefixTokens = 2000;
constexpr std::uint32_t ownTokens = 200;
constexpr std::size_t prefixes = 120;
constexpr std::size_t cachedPrefixes = 12;
constexpr double averageHalfLife = 2.0; // seconds, of the paper's moving average
constexpr std::size_t spreadAmong = 3;  // the paper's random choice among the best

struct engine
{
    std::uint32_t running = 0;
    std::deque<std::function<void()>> waiting;
    std::deque<std::size_t> cache; // newest first
    std::uint64_t served = 0;
};

// What one daemon knows of one endpoint beyond its own counters.
struct knowledge
{
    double utilisation = -1.0; // the paper's moving average of reports; below zero: not measured
    double recent = 0.0;       // requests sent since the last report
};

struct event
{
    time_point when;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const event &other) const { return when != other.when ? when > other.when : order > other.order; }
};

class routing_trial
{
public:
    explicit routing_trial(const routing_trial_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_engines(options.endpoints)
    {
        std::vector<std::uint64_t> members;
        for (std::uint64_t d = 0; d < options.daemons; ++d) {
            members.push_back(mixBits(d + 1));
        }
        for (std::uint32_t d = 0; d < options.daemons; ++d) {
            service_table table;
            table.groups.push_back({"v1", totalShare, {}, {}});
            for (std::uint32_t e = 0; e < options.endpoints; ++e) {
                const auto item = std::make_shared<endpoint>();
                item->id = std::to_string(e);
                item->key = hashBytes(item->id);
                item->load = std::make_shared<endpoint_load>();
                item->load->slots = slotShare(options.batch * 4 / 3, item->key, members, members[d]);
                table.groups[0].local.append(item);
            }
            m_tables.push_back(std::move(table));
            m_known.emplace_back(options.endpoints);
        }
    }

    routing_trial_result run()
    {
        at(m_now, [this] { arrive(); });
        at(m_now + reportInterval, [this] { report(); });
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.what();
        }
        return result();
    }

private:
    void at(time_point when, std::function<void()> what) { m_events.push({when, ++m_order, std::move(what)}); }
    void after(double seconds, std::function<void()> what) { at(m_now + duration(static_cast<std::int64_t>(seconds * 1e6)), std::move(what)); }
    double uniform() { return static_cast<double>(m_random.next() >> 11U) * 0x1.0p-53; }

    void arrive()
    {
        if (m_now.time_since_epoch() > trialLength) {
            return;
        }
        after(-std::log(1.0 - uniform()) / m_options.requestsPerSecond, [this] { arrive(); });
        const std::size_t prefix = std::min(static_cast<std::size_t>(std::pow(static_cast<double>(prefixes), uniform())) - 1, prefixes - 1); // few are popular
        route(uniformBelow(m_random, m_options.daemons), prefix, m_now);
    }

    void route(std::size_t daemon, std::size_t prefix, time_point arrived)
    {
        const endpoint_ptr chosen = choose(daemon, prefix);
        if (chosen == nullptr) {
            after(0.02, [this, daemon, prefix, arrived] { route(daemon, prefix, arrived); });
            return;
        }
        const std::size_t index = std::stoul(chosen->id);
        m_known[daemon][index].recent += 1.0;
        engine &where = m_engines[index];
        auto begin = [this, daemon, index, prefix, arrived, chosen] {
            serve(daemon, index, prefix, arrived, chosen);
        };
        if (where.running < m_options.batch) {
            begin();
        } else {
            where.waiting.push_back(begin);
        }
    }

    void serve(std::size_t daemon, std::size_t index, std::size_t prefix, time_point arrived, const endpoint_ptr &chosen)
    {
        engine &where = m_engines[index];
        ++where.running;
        ++where.served;
        const auto cached = std::find(where.cache.begin(), where.cache.end(), prefix);
        const std::uint32_t computed = ownTokens + (cached == where.cache.end() ? prefixTokens : 0);
        if (cached != where.cache.end()) {
            where.cache.erase(cached);
        }
        where.cache.push_front(prefix);
        where.cache.resize(std::min(where.cache.size(), cachedPrefixes));
        m_computed += computed;
        const double busy = 1.0 + static_cast<double>(where.running) / m_options.batch;
        const double prefill = computed * prefillSecondsPerToken * busy;
        const double tokens = 60.0 + 240.0 * uniform();
        after(prefill, [this, arrived, chosen] {
            const duration took = m_now - arrived;
            ++m_answers;
            m_within += took <= firstTokenTarget ? 1 : 0;
            m_firstTokens += std::chrono::duration<double>(took).count();
            auto &average = chosen->load->firstTokenMicros;
            const std::int64_t held = average.load();
            average = static_cast<std::uint32_t>(held == 0 ? took.count() : held + (took.count() - held) / 8);
        });
        after(prefill + tokens * secondsPerToken * (0.7 + 0.3 * busy / 2.0), [this, daemon, index, chosen] { finish(daemon, index, chosen); });
    }

    void finish(std::size_t, std::size_t index, const endpoint_ptr &chosen)
    {
        chosen->load->release();
        engine &where = m_engines[index];
        --where.running;
        if (!where.waiting.empty()) {
            const auto next = std::move(where.waiting.front());
            where.waiting.pop_front();
            next();
        }
    }

    void report()
    {
        if (m_now.time_since_epoch() < trialLength) {
            at(m_now + reportInterval, [this] { report(); });
        }
        const double weight = 1.0 - std::exp(-std::chrono::duration<double>(reportInterval).count() * std::log(2.0) / averageHalfLife);
        for (auto &known : m_known) {
            for (std::size_t e = 0; e < m_engines.size(); ++e) {
                if (chance(m_random, m_options.reportsLost)) {
                    continue;
                }
                const double sample = std::min(1.0, (m_engines[e].running + static_cast<double>(m_engines[e].waiting.size())) / m_options.batch);
                known[e].utilisation = known[e].utilisation < 0.0 ? sample : known[e].utilisation + weight * (sample - known[e].utilisation);
                known[e].recent = 0.0;
                const auto d = static_cast<std::size_t>(&known - m_known.data());
                m_tables[d].groups[0].local[e]->load->reportedPermille = static_cast<std::uint32_t>(known[e].utilisation * 1000.0);
            }
        }
    }

    // ---- Strategies

    endpoint_ptr choose(std::size_t daemon, std::size_t prefix)
    {
        const service_table &table = m_tables[daemon];
        const std::uint64_t key = mixBits(prefix + 77);
        switch (m_options.kind) {
        case strategy::PrefixBounded:
            return taken(chooseEndpoint(table, {.prefix = key}, {}, m_random));
        case strategy::BestOfThree:
            return taken(chooseEndpoint(table, {}, {}, m_random));
        case strategy::Random:
            return take(table, [this](const endpoint &) { return uniform(); });
        case strategy::LeastInFlight:
            return take(table, [](const endpoint &item) { return static_cast<double>(item.load->inFlight); });
        case strategy::PowerOfTwo:
            return powerOfTwo(table);
        case strategy::Blended:
            return blended(daemon);
        case strategy::BlendedPrefix:
            return blendedPrefix(daemon, key);
        }
        return nullptr;
    }

    static endpoint_ptr taken(const route_choice &choice) { return choice.chosen == nullptr ? nullptr : *choice.chosen; }

    static bool isFree(const endpoint &item) { return item.load->inFlight < item.load->slots; }

    static endpoint_ptr take(const service_table &table, const std::function<double(const endpoint &)> &score)
    {
        endpoint_ptr best;
        double bestScore = 0.0;
        for (const endpoint_ptr &item : table.groups[0].local) {
            const double own = isFree(*item) ? score(*item) : 0.0;
            if (isFree(*item) && (best == nullptr || own < bestScore)) {
                best = item;
                bestScore = own;
            }
        }
        return best != nullptr && best->load->tryAcquire() ? best : nullptr;
    }

    endpoint_ptr powerOfTwo(const service_table &table)
    {
        const auto &list = table.groups[0].local;
        endpoint_ptr best;
        for (int i = 0; i < 2; ++i) {
            const endpoint_ptr &item = list[uniformBelow(m_random, list.size())];
            if (isFree(*item) && (best == nullptr || item->load->inFlight < best->load->inFlight)) {
                best = item;
            }
        }
        return best == nullptr ? take(table, [this](const endpoint &) { return uniform(); }) : (best->load->tryAcquire() ? best : nullptr);
    }

    // The paper's score: a mean of what was allocated, what was measured and what was started lately, plus the dominant of the first two.
    double score(std::size_t daemon, const endpoint &item) const
    {
        const knowledge &known = m_known[daemon][std::stoul(item.id)];
        const double allocated = static_cast<double>(item.load->inFlight) / std::max(1U, item.load->slots.load());
        const double recent = std::min(1.0, known.recent * m_options.daemons / m_options.batch);
        if (known.utilisation < 0.0) {
            return 10.0 + allocated; // not measured: behind all that are
        }
        const double mean = (allocated + known.utilisation + recent) / 3.0;
        return (mean + std::max(allocated, known.utilisation)) / 2.0;
    }

    endpoint_ptr blended(std::size_t daemon)
    {
        std::vector<std::pair<double, endpoint_ptr>> ranked;
        for (const endpoint_ptr &item : m_tables[daemon].groups[0].local) {
            if (isFree(*item)) {
                ranked.emplace_back(score(daemon, *item), item);
            }
        }
        if (ranked.empty()) {
            return nullptr;
        }
        std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
        const endpoint_ptr best = ranked[uniformBelow(m_random, std::min(ranked.size(), spreadAmong))].second;
        return best->load->tryAcquire() ? best : nullptr;
    }

    endpoint_ptr blendedPrefix(std::size_t daemon, std::uint64_t key)
    {
        const route_choice choice = chooseEndpoint(m_tables[daemon], {.prefix = key}, {}, m_random);
        if (choice.chosen == nullptr) {
            return nullptr;
        }
        endpoint_ptr first = *choice.chosen;
        if (score(daemon, *first) < 0.9) {
            return first;
        }
        first->load->release();
        return blended(daemon);
    }

    routing_trial_result result() const
    {
        routing_trial_result out;
        std::uint64_t served = 0;
        std::uint64_t most = 0;
        for (const engine &item : m_engines) {
            served += item.served;
            most = std::max(most, item.served);
        }
        const auto answers = static_cast<double>(m_answers);
        out.withinTargetPercent = 100.0 * static_cast<double>(m_within) / answers;
        out.computedPerRequest = static_cast<double>(m_computed) / answers;
        out.worstOverMean = static_cast<double>(most) * static_cast<double>(m_engines.size()) / static_cast<double>(served);
        out.meanFirstTokenSeconds = m_firstTokens / answers;
        return out;
    }

    routing_trial_options m_options;
    seeded_random m_random;
    time_point m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<engine> m_engines;
    std::vector<service_table> m_tables;         // by daemon
    std::vector<std::vector<knowledge>> m_known; // by daemon and endpoint
    std::uint64_t m_computed = 0;
    std::uint64_t m_answers = 0;
    std::uint64_t m_within = 0;
    double m_firstTokens = 0.0;
};

} // namespace

std::string_view toText(strategy kind)
{
    constexpr std::array<std::string_view, 7> names
        = {"random", "least in flight", "power of two", "best of three", "prefix bounded", "blended score", "prefix, then blended"};
    return names.at(static_cast<std::size_t>(kind));
}

routing_trial_result runRoutingTrial(const routing_trial_options &options)
{
    return routing_trial(options).run();
}

} // namespace chicoryrouter::trials
