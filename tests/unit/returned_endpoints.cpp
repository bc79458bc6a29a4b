// Endpoints that drain, leave and start again under the same id while a router can't hear of it.
#include "support/small_deployment.h"

#include "chicoryrouter/fleet.h"

#include <criterion/criterion.h>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::eventually;
using test::small_deployment;

namespace {

instance_record entryOf(std::uint64_t incarnation, bool leaving)
{
    instance_record record{"e0", "fd-1", instance_class::Reclaimable, "writer", "v1", {"10.0.0.1", 1}};
    record.incarnation = incarnation;
    record.leaving = leaving;
    return record;
}

bool isLeaving(fleet &all)
{
    all.setDocument(std::make_shared<revisioned_document>());
    return all.status().front().info->load->leaving;
}

void drain(small_deployment &all, hosted_endpoint &item)
{
    all.store.put("servers/" + item.id(), item.entry("shop", "west-1", "draining"));
}

void startAgain(small_deployment &all, hosted_endpoint &item)
{
    all.store.remove("servers/" + item.id());
    item.startAgain();
    all.store.put("servers/" + item.id(), item.entry("shop", "west-1"));
}

} // namespace

// The list is known before the gap, as draining, and after it; the time without an entry isn't seen. Only another incarnation ends the draining.
Test(returned_endpoints, an_endpoint_that_drained_and_started_again_unseen_is_used)
{
    const time_point now = systemNow();
    fleet all("fd-1", 1);
    all.onInstanceList({entryOf(1, true)}, now);
    cr_expect(isLeaving(all));
    all.onInstanceList({entryOf(1, false)}, now);
    cr_expect(isLeaving(all), "an older list that arrives late");
    all.onInstanceList({entryOf(2, false)}, now);
    cr_expect(!isLeaving(all), "the next incarnation");
}

// All endpoints of a service at once, on a daemon that is cut off from the store meanwhile.
Test(returned_endpoints, a_service_whose_endpoints_all_started_again_during_a_cut_is_served)
{
    small_deployment all;
    all.start();
    drain(all, all.shop1);
    drain(all, all.shop2);
    cr_assert(eventually([&] { return all.routers.front()->usableEndpointCount() == 2; }), "the draining was not noticed");
    all.store.faults.refusing = true;
    std::this_thread::sleep_for(300ms);
    startAgain(all, all.shop1);
    startAgain(all, all.shop2);
    all.store.faults.refusing = false;
    cr_assert(eventually([&] { return all.routers.front()->usableEndpointCount() == 4; }), "they are still held to be leaving");
    cr_assert_eq(all.ask("GET", "/look/1", "look-1").response.status, 200);
}
