// Telling the store's changes from daemon to daemon.
#include "change_log.h"
#include "store_session.h"
#include "support/large_configuration.h"

#include "chicoryrouter/random.h"

#include <criterion/criterion.h>

#include <set>

using namespace chicoryrouter;
using namespace chicoryrouter::platform;
using namespace std::chrono_literals;

namespace {

const time_point someday{std::chrono::hours(1)};

store_item itemAt(std::uint64_t revision)
{
    store_item item;
    item.key = "servers/e" + std::to_string(revision % 7);
    item.value = std::string("value\0with a zero", 17);
    item.revision = revision;
    item.createRevision = revision - 1;
    item.lease = 5;
    return item;
}

membership membersOf(std::size_t inDomain, const std::string &self)
{
    membership all({self, "fd-1", {"10.0.0.1", 1}, 1, member_state::Alive}, {}, 1);
    std::vector<member_info> listed;
    for (std::size_t i = 0; i < inDomain; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        listed.push_back({name, "fd-1", {"10.0.1." + std::to_string(i), 1}, 0, member_state::Alive});
        listed.push_back({"other-" + std::to_string(i), "fd-2", {"10.0.2.1", 1}, 0, member_state::Alive});
    }
    all.onInstanceList(listed, someday);
    return all;
}

} // namespace

Test(change_log, changes_survive_their_encoding_and_garbage_is_none)
{
    change_batch told;
    told.at = {3, 12};
    told.age = 250ms;
    told.items = {itemAt(10), itemAt(12)};
    told.items[1].deleted = true;
    const std::string bytes = encodeChanges(told);
    const std::optional<change_batch> back = decodeChanges(bytes);
    cr_assert(back && back->at == (store_position{3, 12}) && back->age == duration(250ms) && back->items.size() == 2);
    cr_assert(back->items[0].key == told.items[0].key && back->items[0].value == told.items[0].value && back->items[0].lease == 5);
    cr_assert(back->items[1].deleted && back->items[1].revision == 12);
    seeded_random random(7);
    for (int i = 0; i < 3000; ++i) {
        std::string broken = bytes.substr(0, uniformBelow(random, bytes.size()));
        if (!broken.empty()) {
            broken[uniformBelow(random, broken.size())] = static_cast<char>(uniformBelow(random, 256));
        }
        decodeChanges(broken); // throws nothing
    }
}

Test(change_log, what_is_no_longer_held_is_not_passed_over)
{
    change_log log;
    log.reset(100);
    cr_assert_not(log.since(99));
    cr_assert(log.since(100) && log.since(100)->empty());
    for (std::uint64_t revision = 101; revision <= 5000; ++revision) {
        store_item item = itemAt(revision);
        item.key += "-" + std::to_string(revision); // keys of their own: none is written over
        log.add(item);
    }
    cr_assert_not(log.since(101), "the oldest changes are gone");
    const auto newest = log.since(4998);
    cr_assert(newest && newest->size() == 2 && newest->front().revision == 4999);
}

// Whoever asks learns how each key is now, and nothing is missing for it.
Test(change_log, of_each_key_the_newest_change_is_told)
{
    change_log log;
    log.reset(100);
    for (std::uint64_t revision = 101; revision <= 160; ++revision) {
        log.add(itemAt(revision));
    }
    log.add(itemAt(150)); // seen again
    for (std::uint64_t known = 100; known <= 160; ++known) {
        const auto newer = log.since(known);
        cr_assert(newer.has_value());
        std::set<std::string> keys;
        std::uint64_t last = known;
        for (const store_item &item : *newer) {
            cr_assert(item.revision > last, "in the order of their revisions");
            last = item.revision;
            keys.insert(item.key);
        }
        cr_assert_eq(keys.size(), newer->size());
        cr_assert_eq(newer->size(), std::min<std::uint64_t>(160 - known, 7));
    }
}

// A peer of a former build states and reads no era.
Test(change_log, a_position_is_read_with_and_without_its_era)
{
    cr_assert(decodePosition(encodePosition({4, 250}), 9) == (store_position{4, 250}));
    cr_assert(decodePosition("250", 9) == (store_position{9, 250}));
    cr_assert(encodePosition({4, 250}).starts_with("250 "), "a former build reads the digits before the blank");
    for (const char *broken : {"", " ", "x", "-1", "250 x"}) {
        cr_assert(!decodePosition(broken, 9), "'%s'", broken);
    }
}

// Twelve followers of one teller on a link of 10 Mbit/s: a configuration of 1,445 routes that has changed three times since they asked
// reaches all of them within half a second of sending. Whole and unpacked it took more than eight.
Test(change_log, a_large_configuration_reaches_a_failure_domain_over_a_thin_link)
{
    constexpr std::size_t followers = 12;
    constexpr std::size_t linkBytesPerHalfSecond = 10'000'000 / 8 / 2;
    change_log log;
    log.reset(100);
    for (std::uint64_t revision = 101; revision <= 103; ++revision) {
        store_item item;
        item.key = "op/config";
        item.value = test::configurationOfRoutes(1445, revision);
        item.revision = revision;
        log.add(item);
    }
    change_batch told;
    told.at = {1, 103};
    told.items = *log.since(100);
    const std::string bytes = encodeChanges(told);
    cr_assert_lt(bytes.size() * followers, linkBytesPerHalfSecond, "%zu bytes for each", bytes.size());
    const std::optional<change_batch> back = decodeChanges(bytes);
    cr_assert(back && back->items.back().value == test::configurationOfRoutes(1445, 103));
}

Test(change_log, all_daemons_of_a_domain_name_the_same_tellers)
{
    std::size_t tellers = 0;
    std::set<std::string> asked;
    for (int i = 0; i < 9; ++i) {
        const membership all = membersOf(9, "entry-" + std::to_string(i));
        const std::optional<address> teller = watch_selector().watcherToPoll(all, someday);
        tellers += watch_selector::isWatcher(all) ? 1 : 0;
        cr_assert_eq(teller.has_value(), !watch_selector::isWatcher(all));
        if (teller) {
            asked.insert(teller->ip);
        }
    }
    cr_assert_eq(tellers, 2);
    cr_assert_eq(asked.size(), 1, "the first of the two");
    cr_assert_not(watch_selector().watcherToPoll(membersOf(4, "entry-9"), someday), "in a small domain everybody watches");
}

Test(change_log, a_teller_that_failed_is_left_for_the_store_and_then_for_the_other_one)
{
    const membership all = [] {
        for (int i = 0;; ++i) {
            membership some = membersOf(9, "entry-" + std::to_string(i));
            if (!watch_selector::isWatcher(some)) {
                return some;
            }
        }
    }();
    watch_selector choice;
    const std::optional<address> first = choice.watcherToPoll(all, someday);
    choice.onWatcherFailed(someday);
    cr_assert_not(choice.watcherToPoll(all, someday + 1s));
    const std::optional<address> second = choice.watcherToPoll(all, someday + 10s);
    cr_assert(first && second && first->ip != second->ip);
}

// A teller tells what it knew `maxAge` ago and is gone; its follower pauses, waits for it in vain, and asks the store, which needs a
// moment for the largest configuration on the thinnest link. What is promised holds with room for the machine.
Test(change_log, a_change_is_known_in_time_also_when_the_teller_dies)
{
    const duration largestAnswer = 400ms; // 450 KB over 10 Mbit/s
    for (const duration promised : {duration(2s), duration(3s), duration(10s)}) {
        const propagation_timing pace = timingFor(promised);
        cr_assert_leq((pace.maxAge + pace.maxPause + pace.peerTimeout + largestAnswer).count(), (promised - 250ms).count());
    }
    for (const duration promised : {duration(100ms), duration(2s), duration(3s)}) {
        const propagation_timing pace = timingFor(promised);
        cr_assert_geq(pace.maxAge.count(), (pace.maxPause + pace.storeWatchTimeout).count(), "a teller in good health is always fresh");
        cr_assert_geq(pace.peerTimeout.count(), (2 * pace.maxHold).count(), "and answers in time when nothing is new");
    }
}

// A daemon that was cut off notices its return up to a second late. Entries that were removed meanwhile must not be used for the whole
// grace on top of that: three seconds after the return it counts as being in touch.
Test(change_log, entries_missing_after_an_outage_are_given_up_in_time_also_when_the_return_was_noticed_late)
{
    const time_point back = someday;
    cr_assert(keepMissingEntriesUntil(back - 50ms, back + 50ms) == back + 2250ms, "noticed at once: those that live have their two seconds");
    cr_assert_lt(keepMissingEntriesUntil(back - 50ms, back + 1030ms).time_since_epoch().count(), (back + 3s).time_since_epoch().count());
    cr_assert_geq(keepMissingEntriesUntil(back - 50ms, back + 1030ms).time_since_epoch().count(), (back + 2s).time_since_epoch().count());
}
