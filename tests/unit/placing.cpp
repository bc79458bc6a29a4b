// Leases, plans and starts.
#include "chicoryrouter/lease.h"
#include "chicoryrouter/placement.h"
#include "chicoryrouter/stream_moves.h"
#include "support/world.h"
#include "trials/cost_trial.h"

#include <criterion/criterion.h>

#include <set>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

const time_point someday = test::worldStart;

// One record in a key-value service, and the replies it would give.
struct record_store
{
    store_reply held{store_outcome::NotFound, 0, {}};

    store_reply read() const { return held; }

    store_reply swap(std::uint64_t expected, const std::string &value)
    {
        if (held.version != expected) {
            return {store_outcome::Conflict, held.version, {}};
        }
        held = {store_outcome::Ok, held.version + 1, value};
        return held;
    }
};

void tend(lease &mine, record_store &store, time_point now)
{
    if (mine.onTick(now) == lease::step::Read && mine.onRead(store.read(), now) == lease::step::Swap) {
        mine.onSwapped(store.swap(mine.expectedVersion(), mine.pendingValue()), now);
    }
}

std::vector<placement_offer> fourDomains()
{
    std::vector<placement_offer> offers;
    const double prices[] = {1.1, 1.2, 0.9, 1.4};
    for (int i = 0; i < 4; ++i) {
        offers.push_back({"d" + std::to_string(i), instance_class::Reclaimable, prices[i]});
        offers.push_back({"d" + std::to_string(i), instance_class::OnDemand, 3.0 + 0.1 * i});
    }
    return offers;
}

std::uint32_t leftWithout(const placement_plan &plan, const std::string &domain)
{
    std::uint32_t left = 0;
    for (const placement_share &item : plan.shares) {
        left += item.cls == instance_class::OnDemand || item.failureDomain != domain ? item.count : 0;
    }
    return left;
}

} // namespace

Test(placing, one_daemon_holds_a_lease_and_orders_only_after_the_old_ones_pause)
{
    record_store store;
    lease first("a", {});
    lease second("b", {});
    for (int s = 0; s <= 60; ++s) {
        const time_point now = someday + std::chrono::seconds(s);
        tend(first, store, now);
        tend(second, store, now);
        cr_assert_not(first.isHeld(now) && second.isHeld(now));
    }
    cr_assert(first.mayIssueOrders(someday + 60s));
    cr_assert_eq(first.fencing(), 1);
}

Test(placing, a_holder_paused_past_its_term_gives_no_order_and_the_next_has_a_higher_fencing_number)
{
    record_store store;
    lease paused("a", {});
    lease rival("b", {});
    for (int s = 0; s <= 30; ++s) {
        tend(paused, store, someday + std::chrono::seconds(s));
        tend(rival, store, someday + std::chrono::seconds(s));
    }
    cr_assert(paused.mayIssueOrders(someday + 30s));
    time_point taken = noDeadline;
    for (int s = 31; s <= 90; ++s) {
        const time_point now = someday + std::chrono::seconds(s);
        tend(rival, store, now);
        taken = rival.isHeld(now) ? std::min(taken, now) : taken;
        cr_assert_not(rival.mayIssueOrders(now) && paused.mayIssueOrders(now), "two may order at second %d", s);
    }
    cr_assert(taken != noDeadline);
    cr_assert_not(paused.isHeld(someday + 90s), "its own clock tells it");
    cr_assert_eq(rival.fencing(), 2);
    tend(paused, store, someday + 91s);
    cr_assert_not(paused.isHeld(someday + 91s));
    cr_assert(rival.mayIssueOrders(taken + 6s));
}

Test(placing, a_lost_reply_while_taking_a_lease_is_settled_by_reading)
{
    record_store store;
    lease mine("a", {});
    cr_assert_eq(mine.onTick(someday), lease::step::Read);
    cr_assert_eq(mine.onRead(store.read(), someday), lease::step::Swap);
    store.swap(mine.expectedVersion(), mine.pendingValue());
    mine.onSwapped({}, someday); // took effect, reply lost
    cr_assert_not(mine.isHeld(someday));
    tend(mine, store, someday + 1s);
    cr_assert(mine.isHeld(someday + 1s));
    cr_assert_eq(mine.fencing(), 1);
    cr_assert_not(mine.mayIssueOrders(someday + 2s));
    for (int s = 2; s < 10; ++s) {
        tend(mine, store, someday + std::chrono::seconds(s));
    }
    cr_assert(mine.mayIssueOrders(someday + 9s));
}

Test(placing, a_planned_stop_frees_the_lease_at_once)
{
    record_store store;
    lease first("a", {});
    lease second("b", {});
    tend(first, store, someday);
    tend(second, store, someday);
    first.release();
    tend(first, store, someday + 1s);
    tend(second, store, someday + 6s);
    cr_assert(second.isHeld(someday + 6s));
    cr_assert_not(first.isHeld(someday + 6s));
}

Test(placing, a_plan_bears_the_loss_of_any_domains_reclaimable_instances)
{
    for (std::uint32_t needed = 1; needed <= 30; ++needed) {
        for (std::uint32_t prompt = 0; prompt <= needed; ++prompt) {
            const placement_plan plan = planPlacement({needed, prompt, 0, 80}, fourDomains());
            cr_assert(plan.survivesDomainLoss);
            cr_assert_geq(plan.total(), needed);
            for (int d = 0; d < 4; ++d) {
                cr_assert_geq(leftWithout(plan, "d" + std::to_string(d)), prompt, "needed %u, prompt %u", needed, prompt);
            }
        }
    }
}

Test(placing, a_plan_is_never_dearer_than_all_on_demand_and_says_when_bounds_are_too_tight)
{
    for (std::uint32_t needed = 1; needed <= 30; ++needed) {
        const placement_plan plan = planPlacement({needed, needed, 0, 80}, fourDomains());
        cr_assert_leq(plan.perHour, needed * 3.2);
    }
    const placement_plan tight = planPlacement({10, 10, 0, 10}, {{"d0", instance_class::Reclaimable, 1.0}});
    cr_assert_not(tight.survivesDomainLoss);
    cr_assert_eq(tight.total(), 10);
}

Test(placing, demand_rises_at_once_and_falls_late)
{
    demand_meter meter(10min);
    cr_assert_eq(meter.observe(4, someday), 4);
    cr_assert_eq(meter.observe(9, someday + 1min), 9);
    cr_assert_eq(meter.observe(3, someday + 2min), 9);
    cr_assert_eq(meter.observe(5, someday + 9min), 9);
    cr_assert_eq(meter.observe(3, someday + 11min), 5);
    cr_assert_eq(meter.observe(3, someday + 20min), 3);
}

Test(placing, lost_replies_and_changes_of_holder_buy_nothing_twice)
{
    const placement_plan plan = planPlacement({4, 0, 0, 20}, fourDomains());
    std::set<std::string> bought; // by token, as the cloud does
    std::set<std::string> listed; // of these, what the instance list shows by now
    std::vector<start_record> stored;
    std::uint64_t fencing = 1;
    auto holder = std::make_unique<placement_controller>("writer");
    seeded_random random(4);
    time_point now = someday;
    for (int round = 0; round < 400; ++round) {
        now += 1s;
        std::vector<running_endpoint> running;
        for (const std::string &token : bought) {
            if (uniformBelow(random, 10) == 0) {
                listed.insert(token); // the list lags
            }
            if (listed.count(token) != 0) {
                const auto place = token.substr(token.find('@') + 1);
                running.push_back({token, place, instance_class::Reclaimable, "v1", token.substr(0, token.find('@')), false});
            }
        }
        if (round == 40) { // a new holder reads what was recorded
            holder = std::make_unique<placement_controller>("writer");
            holder->load(stored);
            ++fencing;
        }
        const placement_step step = holder->next(plan, running, "v1", fencing, now);
        if (step.action == placement_step::kind::Record) {
            const bool took = uniformBelow(random, 3) != 0;
            if (took) {
                stored = holder->records();
            }
            holder->onRecorded(took && uniformBelow(random, 3) != 0);
        } else if (step.action == placement_step::kind::Start) {
            bought.insert(step.start.token + "@" + step.start.failureDomain);
            const bool answered = uniformBelow(random, 2) == 0;
            holder->onStarted(step.start.token, true, answered, now);
        }
        cr_assert_leq(bought.size(), plan.total(), "round %d: %zu bought, %u planned", round, bought.size(), plan.total());
    }
    cr_assert_eq(bought.size(), plan.total());
}

Test(placing, a_refused_start_backs_off_and_goes_elsewhere)
{
    placement_controller starts("writer");
    const placement_plan plan = planPlacement({1, 0, 0, 20}, fourDomains());
    starts.next(plan, {}, "v1", 1, someday);
    starts.onRecorded(true);
    const placement_step step = starts.next(plan, {}, "v1", 1, someday);
    cr_assert_eq(step.action, placement_step::kind::Start);
    starts.onStarted(step.start.token, false, true, someday);
    cr_assert(starts.isBackingOff(step.start.failureDomain, step.start.cls, someday + 29s));
    cr_assert_not(starts.isBackingOff(step.start.failureDomain, step.start.cls, someday + 31s));
    cr_assert_eq(starts.next(plan, {}, "v1", 1, someday + 1s).action, placement_step::kind::None);
    cr_assert(starts.records().empty());
}

Test(placing, nothing_is_stopped_while_something_is_still_to_come)
{
    placement_controller starts("writer");
    const placement_plan plan = planPlacement({2, 2, 0, 20}, fourDomains());
    std::vector<running_endpoint> running = {{"extra-1", "d3", instance_class::Reclaimable, "v1", "", false}};
    cr_assert_eq(starts.next(plan, running, "v1", 1, someday).action, placement_step::kind::Record);
    for (const placement_share &item : plan.shares) {
        for (std::uint32_t i = 0; i < item.count; ++i) {
            running.push_back({"e" + std::to_string(running.size()), item.failureDomain, item.cls, "v1", "", false});
        }
    }
    placement_controller settled("writer");
    const placement_step step = settled.next(plan, running, "v1", 1, someday);
    cr_assert_eq(step.action, placement_step::kind::Stop);
    cr_assert_eq(step.stopId, "extra-1");
}

Test(placing, streams_that_save_most_are_moved_first_and_the_rest_resume)
{
    std::vector<stream_cost> streams = {{"short", 50, {}}, {"long", 8000, {}}, {"middle", 2000, {}}};
    planStreamMoves(streams, someday + 2s, someday);
    cr_assert_eq(streams[0].requestId, "long");
    cr_assert_eq(streams[0].method, move_method::TransferKv);
    planStreamMoves(streams, someday + 600ms, someday);
    for (const stream_cost &stream : streams) {
        const bool fits = stream.requestId == "short";
        cr_expect_eq(stream.method, fits ? move_method::TransferKv : move_method::Resume, "%s", stream.requestId.c_str());
    }
    planStreamMoves(streams, someday, someday);
    cr_assert_eq(streams[0].method, move_method::Resume);
}

Test(placing, over_days_with_waves_the_plan_bears_prompt_work_at_a_fraction_of_on_demand)
{
    for (const trials::cost_sizes &sizes : {trials::aspenCosts(), trials::tablesCosts()}) {
        for (std::uint64_t day = 1; day <= 10; ++day) {
            const trials::cost_result planned = trials::runCostTrial(sizes, trials::placing::Planner, day);
            const trials::cost_result onDemand = trials::runCostTrial(sizes, trials::placing::AllOnDemand, day);
            cr_assert_lt(planned.promptMissedPercent, 0.5, "%s day %lu: %.3f%% of prompt work had no place", sizes.name.c_str(),
                static_cast<unsigned long>(day), planned.promptMissedPercent);
            cr_assert_lt(planned.cost, onDemand.cost);
        }
    }
}
