// The day of the cost trial.
#include "trials/cost_trial.h"

#include "chicoryrouter/random.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace chicoryrouter::trials {

namespace {

using namespace std::chrono_literals;

constexpr int minutesOfDay = 24 * 60;
constexpr int startTakes = 4;       // minutes until a started endpoint serves, its model's load included
constexpr int refusedFor = 15;      // minutes after a wave in which the domain's reclaimable starts are refused
constexpr double wavesPerDay = 3.0; // of each failure domain

struct running
{
    std::string domain;
    instance_class cls = instance_class::Reclaimable;
    double perHour = 0.0;
    int servesFrom = 0;
};

class cost_trial
{
public:
    cost_trial(const cost_sizes &sizes, placing kind, std::uint64_t seed)
        : m_sizes(sizes)
        , m_kind(kind)
        , m_random(seed)
    {
        for (const placement_offer &offer : sizes.offers) {
            if (offer.cls == instance_class::Reclaimable) {
                std::vector<int> &waves = m_waves.emplace_back();
                m_domains.push_back(offer.failureDomain);
                for (int minute = 0; minute < minutesOfDay; ++minute) {
                    if (chance(m_random, wavesPerDay / minutesOfDay)) {
                        waves.push_back(minute);
                    }
                }
            }
        }
        for (int minute = 0; minute < minutesOfDay; ++minute) {
            const double wave = 0.5 - 0.5 * std::cos(2.0 * std::numbers::pi * minute / minutesOfDay);
            const double noise = 0.9 + 0.2 * static_cast<double>(m_random.next() >> 11U) * 0x1.0p-53;
            m_open.push_back(sizes.mostOpenRequests * (0.15 + 0.85 * wave) * noise);
        }
    }

    cost_result run()
    {
        if (m_kind == placing::Oracle) {
            return oracle();
        }
        adjust(0, 0); // the day begins with what its first minute needs, already serving
        for (running &item : m_running) {
            item.servesFrom = 0;
        }
        for (int minute = 0; minute < minutesOfDay; ++minute) {
            reclaim(minute);
            account(minute);
            adjust(minute, startTakes);
        }
        return finish();
    }

private:
    std::uint32_t needed(double open) const { return endpointsFor(open, m_sizes.concurrency); }

    void reclaim(int minute)
    {
        for (std::size_t d = 0; d < m_domains.size(); ++d) {
            if (std::find(m_waves[d].begin(), m_waves[d].end(), minute) != m_waves[d].end()) {
                std::erase_if(m_running, [&](const running &item) { return item.domain == m_domains[d] && item.cls == instance_class::Reclaimable; });
            }
        }
    }

    bool refused(const placement_offer &offer, int minute) const
    {
        if (offer.cls == instance_class::OnDemand) {
            return false;
        }
        const auto d = static_cast<std::size_t>(std::find(m_domains.begin(), m_domains.end(), offer.failureDomain) - m_domains.begin());
        return std::any_of(m_waves[d].begin(), m_waves[d].end(), [&](int wave) { return minute >= wave && minute < wave + refusedFor; });
    }

    void account(int minute)
    {
        const double open = m_open[static_cast<std::size_t>(minute)];
        const double prompt = open * m_sizes.promptPart;
        double bears = 0.0;
        for (const running &item : m_running) {
            m_result.cost += item.perHour / 60.0;
            bears += item.servesFrom <= minute ? m_sizes.concurrency : 0.0;
        }
        m_prompt += prompt;
        m_all += open;
        m_promptMissed += std::max(0.0, prompt - bears);
        m_allMissed += std::max(0.0, open - bears);
    }

    placement_plan plan(int minute)
    {
        const double open = m_open[static_cast<std::size_t>(minute)];
        const time_point now{std::chrono::minutes(minute)};
        if (m_kind == placing::Planner) {
            placement_demand demand;
            demand.maxEndpoints = m_sizes.most;
            demand.endpoints = m_demand.observe(needed(open), now);
            demand.promptEndpoints = m_promptDemand.observe(needed(open * m_sizes.promptPart), now);
            std::vector<placement_offer> offers;
            std::copy_if(m_sizes.offers.begin(), m_sizes.offers.end(), std::back_inserter(offers),
                [&](const placement_offer &offer) { return !refused(offer, minute); });
            return planPlacement(demand, offers);
        }
        const instance_class wanted = m_kind == placing::AllOnDemand ? instance_class::OnDemand : instance_class::Reclaimable;
        const placement_offer *cheapest = nullptr;
        for (const placement_offer &offer : m_sizes.offers) {
            if (offer.cls == wanted && (cheapest == nullptr || offer.perHour < cheapest->perHour)) {
                cheapest = &offer;
            }
        }
        placement_plan result;
        result.shares.push_back({cheapest->failureDomain, cheapest->cls, m_demand.observe(needed(open), now)});
        return result;
    }

    void adjust(int minute, int delay)
    {
        const placement_plan wanted = plan(minute);
        bool anyMissing = false;
        for (const placement_share &share : wanted.shares) {
            const auto offer = std::find_if(m_sizes.offers.begin(), m_sizes.offers.end(),
                [&](const placement_offer &item) { return item.failureDomain == share.failureDomain && item.cls == share.cls; });
            auto have = static_cast<std::uint32_t>(std::count_if(
                m_running.begin(), m_running.end(), [&](const running &item) { return item.domain == share.failureDomain && item.cls == share.cls; }));
            for (; have < share.count && !refused(*offer, minute); ++have) {
                m_running.push_back({share.failureDomain, share.cls, offer->perHour, minute + delay});
                ++m_result.starts;
            }
            anyMissing = anyMissing || have < share.count;
        }
        const bool allServe = std::all_of(m_running.begin(), m_running.end(), [&](const running &item) { return item.servesFrom <= minute; });
        if (!anyMissing && allServe) {
            stopSurplus(wanted);
        }
    }

    void stopSurplus(const placement_plan &wanted)
    {
        std::vector<placement_share> left = wanted.shares;
        std::erase_if(m_running, [&](const running &item) {
            const auto share = std::find_if(
                left.begin(), left.end(), [&](const placement_share &one) { return one.failureDomain == item.domain && one.cls == item.cls && one.count > 0; });
            if (share == left.end()) {
                return true;
            }
            --share->count;
            return false;
        });
    }

    // Exactly what each minute needs, at the price of the cheapest reclaimable offer that is not being reclaimed within the minute.
    cost_result oracle()
    {
        for (int minute = 0; minute < minutesOfDay; ++minute) {
            double price = 1e9;
            for (const placement_offer &offer : m_sizes.offers) {
                price = refused(offer, minute) ? price : std::min(price, offer.perHour);
            }
            const double open = m_open[static_cast<std::size_t>(minute)];
            m_result.cost += std::ceil(open / m_sizes.concurrency) * price / 60.0;
            m_prompt += open * m_sizes.promptPart;
            m_all += open;
        }
        return finish();
    }

    cost_result finish()
    {
        const double tokens = (m_all - m_promptMissed) * 60.0 * m_sizes.tokensPerRequestSecond;
        m_result.perMillionTokens = m_result.cost / tokens * 1e6;
        m_result.promptMissedPercent = 100.0 * m_promptMissed / m_prompt;
        m_result.allMissedPercent = 100.0 * m_allMissed / m_all;
        return m_result;
    }

    cost_sizes m_sizes;
    placing m_kind;
    seeded_random m_random;
    std::vector<std::string> m_domains;
    std::vector<std::vector<int>> m_waves; // by domain: minutes in which its reclaimable instances go
    std::vector<double> m_open;            // by minute
    std::vector<running> m_running;
    demand_meter m_demand;
    demand_meter m_promptDemand;
    double m_prompt = 0.0;
    double m_all = 0.0;
    double m_promptMissed = 0.0;
    double m_allMissed = 0.0;
    cost_result m_result;
};

std::vector<placement_offer> offersOf(const std::vector<std::string> &domains, const std::vector<std::pair<double, double>> &prices)
{
    std::vector<placement_offer> offers;
    for (std::size_t i = 0; i < domains.size(); ++i) {
        offers.push_back({domains[i], instance_class::Reclaimable, prices[i].first});
        offers.push_back({domains[i], instance_class::OnDemand, prices[i].second});
    }
    return offers;
}

} // namespace

std::string_view toText(placing kind)
{
    constexpr std::array<std::string_view, 4> names = {"planner", "all on demand", "cheapest only", "knows the future"};
    return names.at(static_cast<std::size_t>(kind));
}

cost_sizes aspenCosts()
{
    return {"aspen-coulee", offersOf({"prairie-1", "prairie-2", "prairie-3", "prairie-4"}, {{1.1, 3.2}, {1.2, 3.2}, {0.9, 3.0}, {1.4, 3.4}}), 12, 150.0, 0.5,
        33.0, 60};
}

cost_sizes tablesCosts()
{
    return {"tables-armor", offersOf({"rennes", "brest", "vannes", "quimper"}, {{1.3, 3.6}, {1.1, 3.4}, {1.2, 3.5}, {1.0, 3.3}}), 10, 80.0, 0.75, 33.0, 40};
}

cost_result runCostTrial(const cost_sizes &sizes, placing kind, std::uint64_t seed)
{
    return cost_trial(sizes, kind, seed).run();
}

} // namespace chicoryrouter::trials
