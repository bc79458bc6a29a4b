// Overload: predicted waits by service and rank, and what is refused by them.
#include "chicoryrouter/overload.h"

#include "chicoryrouter/wait_estimate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t sampleSize = 8;
constexpr std::uint32_t fullPermille = 600;   // reported load from which a service has too little room
constexpr std::uint32_t roomPermille = 500;   // below it, overload may end
constexpr std::int64_t deadlinePercent = 80;  // of the time left: a first token predicted later than that comes too late
constexpr double mostRefused = 0.9;           // of any rank, account or route
constexpr double fullyRefusedAt = 0.25;       // excess over the limit, as a fraction of it, from which `mostRefused` is refused
constexpr double returnedFactor = 0.75;       // for a caller that was refused before and comes back
constexpr duration returnedAfter = 100ms;     // a request that has lost so much of its route's deadline has been tried before
constexpr duration beginAfter = 400ms;        // predicted waits must be too long for that long
constexpr duration endAfter = 1s;             // and short enough for that long
constexpr std::int64_t endPercent = 60;       // of the targets: waits below are short enough to end overload
constexpr duration forgetAfter = 2s;          // without a sample that tells, nothing is known
constexpr duration demandForgetAfter = 5s;    // a rank without requests for so long doesn't count
constexpr double waitHalfLifeSeconds = 0.2;   // of the moving averages of waits and load
constexpr double demandHalfLifeSeconds = 2.0; // of tokens and requests
constexpr double assumedDemand = 2.0;         // under overload, as a multiple of the room
constexpr std::size_t maxAccounts = 64;       // accounts told apart in one rank; others share as if each were alone
constexpr double minWeight = 0.001;           // of an account
constexpr duration changeInterval = 1s;       // between two lines about one service's ranks
constexpr duration minComeBack = 100ms;
constexpr std::int64_t comeBackFromDivisor = 6; // of the time left
constexpr std::int64_t comeBackDivisor = 3;
constexpr std::uint32_t shortPromptTokens = 1'000;
constexpr std::uint32_t longPromptTokens = 8'000;
constexpr std::uint8_t orderStepsPerRank = 3;

// How far beyond its target, in percent of the time from the target to the deadline, a rank's wait may grow before requests of it are refused.
constexpr std::array<std::int64_t, rankCount> slackPercent = {20, 10, 0};

std::size_t indexOf(priority rank)
{
    return std::min(static_cast<std::size_t>(rank), rankCount - 1);
}

std::uint32_t permille(double share)
{
    return static_cast<std::uint32_t>(std::lround(share * 1000.0));
}

double secondsBetween(time_point from, time_point to)
{
    return std::max(std::chrono::duration<double>(to - from).count(), 0.0);
}

bool isHeardOf(const endpoint_load &load)
{
    return load.pacePercent.load(std::memory_order_relaxed) != 0 || load.promptTokensPerMs.load(std::memory_order_relaxed) != 0
        || load.firstTokenMicros.load(std::memory_order_relaxed) != 0;
}

std::size_t endpointCount(const service_table &table)
{
    std::size_t count = 0;
    for (const version_group &group : table.groups) {
        count += group.share > 0 ? group.local.size() + group.remote.size() : 0;
    }
    return count;
}

// The endpoint at `index` among those of all groups that get traffic.
const endpoint &endpointAt(const service_table &table, std::size_t index)
{
    for (const version_group &group : table.groups) {
        for (const endpoint_list *list : {&group.local, &group.remote}) {
            if (group.share > 0 && index < list->size()) {
                return *(*list)[index];
            }
            index -= group.share > 0 ? list->size() : 0;
        }
    }
    return *table.groups.front().local[0]; // not reached: `index` is below endpointCount()
}

} // namespace

// ---- Samples --------------------------------------------------------------------------------------------------------------------------------

bool wait_sample::tells() const
{
    return known > 0 && known * 2 >= drawn;
}

wait_sample sampleWaits(const service_table &table, std::uint32_t tokensToRead, seeded_random &random)
{
    wait_sample sample;
    const std::size_t count = endpointCount(table);
    std::array<duration, sampleSize> waits{};
    std::uint64_t taken = 0;
    for (; count > 0 && sample.drawn < std::min(count, sampleSize); ++sample.drawn) {
        const endpoint &candidate = endpointAt(table, uniformBelow(random, count));
        if (!isHeardOf(*candidate.load)) {
            continue;
        }
        const duration wait = predictedWait(candidate, 0);
        if (sample.known == 0 || wait < sample.leastWait) {
            sample.leastWait = wait;
            sample.ownReading = predictedWait(candidate, tokensToRead) - wait;
        }
        waits.at(sample.known++) = wait;
        taken += candidate.load->reportedPermille.load(std::memory_order_relaxed);
    }
    if (sample.known > 0) {
        const auto middle = waits.begin() + sample.known / 2;
        std::nth_element(waits.begin(), middle, waits.begin() + sample.known);
        sample.medianWait = *middle;
        sample.takenPermille = static_cast<std::uint32_t>(taken / sample.known);
    }
    return sample;
}

// ---- What is known --------------------------------------------------------------------------------------------------------------------------

double overload_control::amountAt(const decayed &value, time_point now)
{
    return value.amount * std::exp2(-secondsBetween(value.at, now) / demandHalfLifeSeconds);
}

void overload_control::add(decayed &value, double amount, time_point now)
{
    value.amount = amountAt(value, now) + amount;
    value.at = std::max(value.at, now);
}

void overload_control::learn(service_load &load, const wait_sample &sample, time_point now)
{
    if (!sample.tells()) {
        return;
    }
    const double weight = load.toldAt == time_point{} ? 1.0 : 1.0 - std::exp2(-secondsBetween(load.toldAt, now) / waitHalfLifeSeconds);
    const double change = static_cast<double>((sample.medianWait - load.wait).count());
    load.wait += duration(static_cast<std::int64_t>(weight * change));
    load.takenPermille += weight * (sample.takenPermille - load.takenPermille);
    load.toldAt = std::max(load.toldAt, now);
}

void overload_control::countDemand(service_load &load, const overload_request &request, time_point now)
{
    rank_demand &demand = load.ranks.at(indexOf(request.rank));
    const bool forgotten = now > demand.seenAt + demandForgetAfter;
    const bool hasTarget = request.firstTokenTarget > duration{};
    const bool hadTarget = demand.target > duration{} && !forgotten;
    demand.target = hasTarget && hadTarget ? std::min(demand.target, request.firstTokenTarget) : (hadTarget ? demand.target : request.firstTokenTarget);
    demand.deadline = forgotten ? request.routeDeadline : std::min(demand.deadline, request.routeDeadline);
    demand.seenAt = std::max(demand.seenAt, now);
    auto found = demand.accounts.find(request.account);
    if (found == demand.accounts.end()) {
        std::erase_if(demand.accounts, [now](const auto &item) { return now > item.second.requests.at + demandForgetAfter; });
        if (demand.accounts.size() >= maxAccounts) {
            return;
        }
        found = demand.accounts.try_emplace(std::string(request.account)).first;
    }
    found->second.weight = std::max(request.weight, minWeight);
    add(found->second.requests, 1.0, now);
}

// The part of the prompt tokens asked for that is of this rank or more urgent.
double overload_control::shareUpTo(const service_load &load, std::size_t rank, time_point now)
{
    double upTo = 0.0;
    double all = 0.0;
    for (std::size_t i = 0; i < rankCount; ++i) {
        const double tokens = amountAt(load.ranks.at(i).admittedTokens, now);
        all += tokens;
        upTo += i <= rank ? tokens : 0.0;
    }
    return all > 0.0 ? upTo / all : 1.0;
}

// Endpoints take waiting requests by rank, so a request waits only for those of its rank and more urgent ones; and while these alone ask for less
// than the room, hardly any of them wait. Of a queue that grows because `assumedDemand` times the room is asked for, their part is as follows.
double overload_control::queueShareUpTo(const service_load &load, std::size_t rank, time_point now)
{
    return std::max(assumedDemand * shareUpTo(load, rank, now) - 1.0, 0.0) / (assumedDemand - 1.0);
}

duration overload_control::waitOf(const service_load &load, std::size_t rank, time_point now)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(load.wait.count()) * queueShareUpTo(load, rank, now)));
}

// ---- Overload by service --------------------------------------------------------------------------------------------------------------------

// Whether some rank's wait is over its target. `relaxed`: over a part of it.
bool overload_control::isPressed(const service_load &load, bool relaxed, time_point now)
{
    if (load.takenPermille < (relaxed ? roomPermille : fullPermille)) {
        return false;
    }
    for (std::size_t i = 0; i < rankCount; ++i) {
        const rank_demand &demand = load.ranks.at(i);
        const duration target = demand.target * (relaxed ? endPercent : 100) / 100;
        if (now <= demand.seenAt + demandForgetAfter && target > duration{} && waitOf(load, i, now) > target) {
            return true;
        }
    }
    return false;
}

void overload_control::turn(service_load &load, time_point now)
{
    if (now > load.toldAt + forgetAfter) {
        load.overloaded = false;
        load.turningSince = {};
        load.toldAt = {};
        return;
    }
    const bool wouldBe = isPressed(load, load.overloaded, now);
    if (wouldBe == load.overloaded) {
        load.turningSince = {};
        return;
    }
    if (load.turningSince == time_point{}) {
        load.turningSince = now;
    }
    if (now - load.turningSince >= (wouldBe ? beginAfter : endAfter)) {
        load.overloaded = wouldBe;
        load.turningSince = {};
    }
}

bool overload_control::moreUrgentIsLate(const service_load &load, std::size_t rank, time_point now)
{
    for (std::size_t i = 0; i < rank; ++i) {
        const rank_demand &demand = load.ranks.at(i);
        if (now <= demand.seenAt + demandForgetAfter && demand.target > duration{} && waitOf(load, i, now) > demand.target) {
            return true;
        }
    }
    return false;
}

// The wait from which requests of the rank are refused. Beyond the target, since a late answer is worth more than a refusal; half of the target if
// the endpoints' own order isn't enough for the more urgent ones.
duration overload_control::limitOf(const service_load &load, std::size_t rank, time_point now)
{
    const rank_demand &demand = load.ranks.at(rank);
    if (moreUrgentIsLate(load, rank, now)) {
        return demand.target / 2;
    }
    return demand.target + std::max(demand.deadline - demand.target, duration{}) * slackPercent.at(rank) / 100;
}

// Rises in proportion to the excess over the limit, and never less than for a more urgent rank.
double overload_control::refusedShare(const service_load &load, std::size_t rank, time_point now)
{
    double share = 0.0;
    for (std::size_t i = 0; load.overloaded && i <= rank; ++i) {
        const bool asked = now <= load.ranks.at(i).seenAt + demandForgetAfter;
        const duration limit = asked ? limitOf(load, i, now) : duration{};
        if (limit > duration{}) {
            const double excess = static_cast<double>(waitOf(load, i, now).count()) / static_cast<double>(limit.count()) - 1.0;
            share = std::max(share, std::clamp(excess / fullyRefusedAt, 0.0, 1.0) * mostRefused);
        }
    }
    return share;
}

// Divides what is let through among the accounts of a rank: an account that asks for less than its share isn't refused, and what it leaves goes to
// the others (max-min fairness).
double overload_control::accountRefusedShare(const rank_demand &demand, std::string_view account, double share, time_point now)
{
    struct claimant
    {
        double asked = 0.0; // for each unit of weight
        double weight = 1.0;
    };
    const auto own = demand.accounts.find(account);
    if (own == demand.accounts.end()) {
        return share;
    }
    std::vector<claimant> claimants;
    double room = 0.0;
    double weights = 0.0;
    for (const auto &[name, value] : demand.accounts) {
        const double asked = amountAt(value.requests, now);
        claimants.push_back({asked / value.weight, value.weight});
        room += asked * (1.0 - share);
        weights += value.weight;
    }
    std::sort(claimants.begin(), claimants.end(), [](const claimant &a, const claimant &b) { return a.asked < b.asked; });
    double level = 0.0; // what each account may ask for, for each unit of weight
    for (const claimant &item : claimants) {
        level = room / weights;
        if (item.asked > level) {
            break;
        }
        room -= item.asked * item.weight;
        weights = std::max(weights - item.weight, minWeight);
    }
    const double ownAsked = amountAt(own->second.requests, now) / own->second.weight;
    return std::clamp(1.0 - level / std::max(ownAsked, minWeight), 0.0, mostRefused);
}

// ---- Refusals -------------------------------------------------------------------------------------------------------------------------------

std::optional<overload_refusal> overload_control::refusalByDeadline(
    const service_load &load, const overload_request &request, const wait_sample &sample, time_point now, seeded_random &random) const
{
    const std::size_t rank = indexOf(request.rank);
    const double ahead = static_cast<double>(sample.leastWait.count()) * queueShareUpTo(load, rank, now);
    const duration predicted = duration(static_cast<std::int64_t>(ahead)) + sample.ownReading;
    const duration limit = (request.deadline - now) * deadlinePercent / 100;
    if (!sample.tells() || sample.takenPermille < fullPermille || predicted <= limit || !chance(random, mostRefused)) {
        return std::nullopt;
    }
    overload_refusal refusal;
    refusal.reason = overload_reason::Deadline;
    refusal.predicted = predicted;
    refusal.limit = limit;
    refusal.takenPermille = sample.takenPermille;
    refusal.refusedPermille = permille(mostRefused);
    return refusal;
}

std::optional<overload_refusal> overload_control::refusalByRank(
    const service_load &load, const overload_request &request, time_point now, seeded_random &random) const
{
    const std::size_t rank = indexOf(request.rank);
    const duration predicted = waitOf(load, rank, now);
    const bool inTarget = request.firstTokenTarget > duration{} && predicted <= request.firstTokenTarget;
    double share = refusedShare(load, rank, now);
    if (!load.overloaded || load.takenPermille < fullPermille || share <= 0.0 || (inTarget && !moreUrgentIsLate(load, rank, now))) {
        return std::nullopt;
    }
    share = accountRefusedShare(load.ranks.at(rank), request.account, share, now);
    const bool returned = request.routeDeadline - (request.deadline - now) >= returnedAfter;
    share *= returned ? returnedFactor : 1.0;
    if (!chance(random, share)) {
        return std::nullopt;
    }
    overload_refusal refusal;
    refusal.predicted = predicted;
    refusal.limit = limitOf(load, rank, now);
    refusal.takenPermille = static_cast<std::uint32_t>(load.takenPermille);
    refusal.refusedPermille = permille(share);
    return refusal;
}

namespace {

// The queue above the limit drains at one second of work a second, less urgent requests after the others.
void setComeBack(overload_refusal &refusal, priority rank, duration left)
{
    const auto turns = static_cast<std::int64_t>(indexOf(rank)) + 2;
    const duration drain = std::max(refusal.predicted - refusal.limit, minComeBack) * turns / 2;
    const duration atMost = std::max(left / comeBackDivisor, duration{});
    refusal.comeBackFrom = std::min(drain, std::max(left / comeBackFromDivisor, duration{}));
    refusal.comeBackSpread = std::min(drain + 2 * minComeBack, atMost - refusal.comeBackFrom);
}

} // namespace

std::optional<overload_refusal> overload_control::decide(const overload_request &request, const wait_sample &sample, time_point now, seeded_random &random)
{
    const std::lock_guard guard(m_lock);
    m_newest = std::max(m_newest, now);
    auto found = m_services.find(request.service);
    if (found == m_services.end()) {
        found = m_services.try_emplace(std::string(request.service)).first;
    }
    service_load &load = found->second;
    const bool wasOverloaded = load.overloaded;
    learn(load, sample, now);
    countDemand(load, request, now);
    turn(load, now);
    noteChange(found->first, load, wasOverloaded, now);
    std::optional<overload_refusal> refusal = refusalByDeadline(load, request, sample, now, random);
    if (!refusal) {
        refusal = refusalByRank(load, request, now, random);
    }
    if (refusal) {
        setComeBack(*refusal, request.rank, request.deadline - now);
    } else {
        add(load.ranks.at(indexOf(request.rank)).admittedTokens, std::max<double>(request.promptTokens, 1.0), now);
    }
    return refusal;
}

// ---- For operators --------------------------------------------------------------------------------------------------------------------------

overload_state overload_control::stateOf(const std::string &service, const service_load &load, time_point now)
{
    overload_state state;
    state.service = service;
    state.overloaded = load.overloaded;
    state.takenPermille = static_cast<std::uint32_t>(load.takenPermille);
    for (std::size_t i = 0; i < rankCount; ++i) {
        state.predicted.at(i) = waitOf(load, i, now);
        state.refusedPermille.at(i) = permille(refusedShare(load, i, now));
        if (!state.refusedFrom && state.refusedPermille.at(i) > 0) {
            state.refusedFrom = static_cast<priority>(i);
        }
    }
    return state;
}

void overload_control::noteChange(const std::string &service, service_load &load, bool wasOverloaded, time_point now)
{
    if (!load.overloaded && !wasOverloaded) {
        return;
    }
    overload_change change{overload_step::Changed, stateOf(service, load, now)};
    if (load.overloaded != wasOverloaded) {
        change.step = load.overloaded ? overload_step::Began : overload_step::Ended;
    } else if (change.state.refusedFrom == load.loggedFrom || now < load.changedAt + changeInterval) {
        return;
    }
    load.loggedFrom = change.state.refusedFrom;
    load.changedAt = now;
    m_changes.push_back(std::move(change));
}

void overload_control::expire(time_point now)
{
    const std::lock_guard guard(m_lock);
    m_newest = std::max(m_newest, now);
    for (auto &[service, load] : m_services) {
        const bool wasOverloaded = load.overloaded;
        turn(load, now);
        noteChange(service, load, wasOverloaded, now);
    }
}

std::vector<overload_change> overload_control::takeChanges()
{
    const std::lock_guard guard(m_lock);
    return std::exchange(m_changes, {});
}

std::vector<overload_state> overload_control::states() const
{
    const std::lock_guard guard(m_lock);
    std::vector<overload_state> states;
    for (const auto &[service, load] : m_services) {
        if (load.toldAt != time_point{}) {
            states.push_back(stateOf(service, load, m_newest));
        }
    }
    return states;
}

// ---- Order at the endpoint ------------------------------------------------------------------------------------------------------------------

std::uint8_t endpointOrder(priority rank, std::uint32_t promptTokens, duration waited, duration firstTokenTarget)
{
    const auto first = static_cast<std::uint8_t>(indexOf(rank) * orderStepsPerRank);
    std::uint8_t step = promptTokens < shortPromptTokens ? 0 : (promptTokens < longPromptTokens ? 1 : 2);
    const bool nearTarget = waited * 2 >= firstTokenTarget && waited < firstTokenTarget;
    if (nearTarget && step > 0) {
        --step;
    }
    return static_cast<std::uint8_t>(first + step);
}

std::string_view toText(overload_reason reason)
{
    return reason == overload_reason::Deadline ? "deadline" : "rank";
}

std::string_view toText(overload_step step)
{
    return step == overload_step::Began ? "began" : (step == overload_step::Changed ? "changed" : "ended");
}

} // namespace chicoryrouter
