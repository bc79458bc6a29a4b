// Computes the limits of endpoints, divides them among daemons, and detects cold endpoints.
#include "chicoryrouter/endpoint_limit.h"

#include "chicoryrouter/hash.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace chicoryrouter {

namespace {

constexpr std::uint64_t completionsPerDoubling = 2; // completed requests per slot of the present limit before the limit doubles
constexpr std::uint32_t slowAnswersForCold = 3;     // consecutive answers
constexpr std::int64_t coldFactor = 4;              // an answer is slow above this multiple of the usual time to the first token

} // namespace

bool isNewer(const load_report &candidate, const load_report &current)
{
    return candidate.epoch != current.epoch ? candidate.epoch > current.epoch : candidate.sequence > current.sequence;
}

std::uint32_t warmLimit(const version_spec &version, const load_report &report, std::uint64_t completedAtCold)
{
    std::uint64_t completedSinceCold = report.completed > completedAtCold ? report.completed - completedAtCold : 0;
    std::uint64_t limit = version.initialConcurrency;
    while (limit < version.maxConcurrency && completedSinceCold >= completionsPerDoubling * limit) {
        completedSinceCold -= completionsPerDoubling * limit;
        limit *= 2;
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(limit, version.maxConcurrency));
}

std::uint32_t endpointLimit(const version_spec &version, const load_report &report, std::uint64_t completedAtCold)
{
    const std::uint32_t warm = warmLimit(version, report, completedAtCold);
    return report.queued == 0 ? warm : std::min(warm, std::max(report.running, 1U));
}

std::uint32_t slotShare(std::uint32_t total, std::uint64_t endpointKey, const std::vector<std::uint64_t> &members, std::uint64_t self)
{
    if (std::find(members.begin(), members.end(), self) == members.end()) {
        return 0;
    }
    const std::uint64_t ownWeight = rendezvousWeight(endpointKey, self);
    const auto rank = static_cast<std::uint32_t>(std::count_if(members.begin(), members.end(), [&](std::uint64_t other) {
        const std::uint64_t weight = rendezvousWeight(endpointKey, other);
        return weight > ownWeight || (weight == ownWeight && other > self);
    }));
    const auto count = static_cast<std::uint32_t>(members.size());
    return total / count + (rank < total % count ? 1 : 0);
}

std::vector<std::uint32_t> divideByDemand(std::uint32_t total, const std::vector<double> &demand)
{
    assert(!demand.empty() && "divideByDemand: `demand` must not be empty");
    const std::size_t count = demand.size();
    const std::uint32_t base = total >= count ? 1 : 0;
    const double remaining = static_cast<double>(total) - static_cast<double>(base) * static_cast<double>(count);
    double sum = std::accumulate(demand.begin(), demand.end(), 0.0);
    const bool noDemand = sum <= 0.0;
    sum = noDemand ? static_cast<double>(count) : sum;

    std::vector<std::uint32_t> parts(count, base);
    std::vector<std::pair<double, std::size_t>> remainders;
    std::uint32_t assigned = base * static_cast<std::uint32_t>(count);
    for (std::size_t i = 0; i < count; ++i) {
        const double exact = remaining * (noDemand ? 1.0 : demand[i]) / sum;
        const auto whole = static_cast<std::uint32_t>(std::floor(exact));
        parts[i] += whole;
        assigned += whole;
        remainders.emplace_back(exact - whole, i);
    }
    std::sort(remainders.begin(), remainders.end(), [](const auto &a, const auto &b) { return a.first != b.first ? a.first > b.first : a.second < b.second; });
    for (std::size_t i = 0; assigned < total; i = (i + 1) % count) {
        ++parts[remainders[i].second];
        ++assigned;
    }
    return parts;
}

bool cold_detector::observe(duration firstToken, duration usual)
{
    const bool slow = usual > duration{} && firstToken > usual * coldFactor;
    if (!slow) {
        m_slowInRow = 0;
        m_cold = false;
        return false;
    }
    ++m_slowInRow;
    if (m_cold || m_slowInRow < slowAnswersForCold) {
        return false;
    }
    m_cold = true;
    return true;
}

} // namespace chicoryrouter
