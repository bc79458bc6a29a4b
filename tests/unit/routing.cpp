// The routing rule: prefixes, bounded load, versions by share, other failure domains.
#include "support/tables.h"

#include "chicoryrouter/router.h"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace chicoryrouter;
using namespace chicoryrouter::test;

Test(routing, equal_prefixes_meet_the_same_endpoint)
{
    const service_table table = makeTable(10, 8);
    seeded_random random(1);
    std::set<std::string> met;
    for (int i = 0; i < 20; ++i) {
        const route_choice choice = chooseEndpoint(table, {.prefix = 12345}, {}, random);
        cr_assert_not_null(choice.chosen);
        met.insert((*choice.chosen)->id);
        (*choice.chosen)->load->release();
    }
    cr_assert_eq(met.size(), 1);
}

Test(routing, a_popular_prefix_spreads_within_the_load_bound)
{
    const service_table table = makeTable(10, 100);
    seeded_random random(1);
    for (int i = 0; i < 200; ++i) {
        cr_assert_not_null(chooseEndpoint(table, {.prefix = 12345}, {}, random).chosen);
    }
    for (const endpoint_ptr &item : table.groups[0].local) {
        cr_expect_leq(item->load->inFlight.load(), 200 / 10 * 5 / 4 + 2, "%s holds %u", item->id.c_str(), item->load->inFlight.load());
    }
}

Test(routing, an_endpoint_that_reports_more_than_its_share_gets_no_prefix_traffic)
{
    const service_table table = makeTable(10, 100);
    seeded_random random(1);
    const endpoint_ptr usual = *chooseEndpoint(table, {.prefix = 12345}, {}, random).chosen;
    for (const endpoint_ptr &item : table.groups[0].local) {
        item->load->reportedPermille = 400;
    }
    usual->load->reportedPermille = 900; // other daemons keep it busy; this one alone would not know
    for (int i = 0; i < 20; ++i) {
        cr_assert_neq((*chooseEndpoint(table, {.prefix = 12345}, {}, random).chosen)->id, usual->id);
    }
}

Test(routing, slots_are_never_exceeded)
{
    const service_table table = makeTable(3, 4);
    seeded_random random(7);
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
        granted += chooseEndpoint(table, {.prefix = static_cast<std::uint64_t>(i % 5)}, {}, random).chosen != nullptr ? 1 : 0;
    }
    cr_assert_eq(granted, 12);
}

Test(routing, versions_are_drawn_by_share)
{
    service_table table = makeTable(2, 100000);
    table.groups[0].share = 950;
    table.groups.push_back({"v2", 50, {}, {}});
    table.groups[1].local.append(makeEndpoint("n0", "fd-1", 100000, "v2"));
    seeded_random random(3);
    int fresh = 0;
    for (int i = 0; i < 20000; ++i) {
        fresh += (*chooseEndpoint(table, {}, {}, random).chosen)->version == "v2" ? 1 : 0;
    }
    cr_assert(fresh > 850 && fresh < 1150, "%d of 20000 went to the version with 5%%", fresh);
}

Test(routing, overflow_never_goes_to_the_version_on_trial)
{
    service_table table = makeTable(1, 5);
    table.groups[0].share = 990;
    table.groups.push_back({"v2", 10, {}, {}});
    table.groups[1].local.append(makeEndpoint("n0", "fd-1", 1000, "v2"));
    seeded_random random(3);
    for (int i = 0; i < 300; ++i) {
        chooseEndpoint(table, {}, {}, random);
    }
    cr_assert_lt(table.groups[1].local[0]->load->inFlight.load(), 20);
}

Test(routing, a_full_own_domain_is_left_and_a_busy_one_only_if_the_wait_saved_beats_the_link)
{
    service_table table = makeTable(1, 10);
    table.groups[0].remote.append(makeEndpoint("far", "fd-2", 10));
    seeded_random random(3);
    const endpoint_ptr own = table.groups[0].local[0];
    const endpoint_ptr far = table.groups[0].remote[0];
    own->load->firstTokenMicros = 100'000;
    far->load->firstTokenMicros = 100'000;
    for (int i = 0; i < 5; ++i) {
        cr_assert_eq((*chooseEndpoint(table, {}, {}, random).chosen)->id, "e0");
    }
    own->load->inFlight = 9;
    cr_assert_eq((*chooseEndpoint(table, {}, {}, random).chosen)->id, "far", "nine of ten slots taken: the other domain is faster");
    far->load->inFlight = 9;
    cr_assert_eq((*chooseEndpoint(table, {}, {}, random).chosen)->id, "e0", "equally busy: the link costs");
    cr_assert_eq((*chooseEndpoint(table, {}, {}, random).chosen)->id, "far", "the own domain is full");
}

Test(routing, an_endpoint_that_failed_a_request_is_used_again_only_when_nothing_else_is_free)
{
    const service_table table = makeTable(2, 1);
    seeded_random random(3);
    route_query query;
    query.failedEndpoints.front() = table.groups[0].local[0]->key;
    cr_assert_eq((*chooseEndpoint(table, query, {}, random).chosen)->id, "e1");
    cr_assert_eq((*chooseEndpoint(table, query, {}, random).chosen)->id, "e0");
}

Test(routing, an_endpoint_to_avoid_is_never_used)
{
    const service_table table = makeTable(1, 5);
    seeded_random random(3);
    route_query query;
    query.excludedEndpoint = table.groups[0].local[0]->key;
    cr_assert_null(chooseEndpoint(table, query, {}, random).chosen);
}

Test(routing, an_answer_stays_on_its_version_while_that_version_has_a_share)
{
    service_table table = makeTable(1, 10);
    table.groups[0].share = 900;
    table.groups.push_back({"v2", 100, {}, {}});
    table.groups[1].local.append(makeEndpoint("n0", "fd-1", 10, "v2"));
    seeded_random random(3);
    route_query query;
    query.version = "v2";
    cr_assert_eq((*chooseEndpoint(table, query, {}, random).chosen)->version, "v2");
    table.groups[0].share = 1000;
    table.groups[1].share = 0;
    cr_assert_eq((*chooseEndpoint(table, query, {}, random).chosen)->version, "v1", "a version taken back gets nothing more");
}

// Daemons of every failure domain must agree on the endpoint of a long prefix; otherwise each domain computes it again.
Test(routing, a_long_prefix_meets_the_same_endpoint_from_every_failure_domain)
{
    constexpr std::size_t domains = 4;
    std::vector<endpoint_ptr> endpoints;
    for (std::size_t i = 0; i < 2 * domains; ++i) {
        endpoints.push_back(makeEndpoint("e" + std::to_string(i), "fd-" + std::to_string(i % domains), 64));
    }
    seeded_random random(1);
    std::set<std::string> metByLong;
    std::set<std::string> metByShort;
    for (std::size_t own = 0; own < domains; ++own) {
        service_table table = makeTable(0, 0);
        for (const endpoint_ptr &item : endpoints) {
            (item->failureDomain == "fd-" + std::to_string(own) ? table.groups[0].local : table.groups[0].remote).append(item);
        }
        metByLong.insert((*chooseEndpoint(table, {.prefix = 12345, .prefixTokens = 13'000}, {}, random).chosen)->id);
        const endpoint_ptr near = *chooseEndpoint(table, {.prefix = 12345, .prefixTokens = 200}, {}, random).chosen;
        cr_expect_eq(near->failureDomain, "fd-" + std::to_string(own), "a short prefix is not worth the link");
        metByShort.insert(near->id);
    }
    cr_expect_eq(metByLong.size(), 1);
    cr_expect_eq(metByShort.size(), domains);
}

// Streams that only emit tokens do not delay a prompt, so they must not drive a prefix away from its cache; prompts in the queue do.
Test(routing, a_long_prefix_leaves_its_endpoint_when_prompts_queue_there_but_not_for_open_streams)
{
    const service_table table = makeTable(8, 64);
    seeded_random random(1);
    const route_query query{.prefix = 12345, .prefixTokens = 13'000};
    const endpoint_ptr usual = *chooseEndpoint(table, query, {}, random).chosen;
    usual->load->inFlight = 20; // open streams; none awaits its first token
    cr_expect_eq((*chooseEndpoint(table, query, {}, random).chosen)->id, usual->id);
    usual->load->awaitingAnswer = 5;
    cr_expect_neq((*chooseEndpoint(table, query, {}, random).chosen)->id, usual->id);
}
