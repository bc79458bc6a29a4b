// Which prompt parts are quarantined, in virtual time: reports between daemons with loss and cuts, and crashes that have other causes.
#include "chicoryrouter/prompt_quarantine.h"
#include "chicoryrouter/hash.h"
#include "chicoryrouter/random.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours(1000)};
constexpr std::uint64_t deadly = 0xdead1e55;
constexpr std::uint64_t common = 0xaa01; // the first part of every prompt
constexpr std::size_t datagramBytes = 1400;

bool happens(double probability, seeded_random &random)
{
    constexpr std::uint64_t scale = 1'000'000;
    return static_cast<double>(uniformBelow(random, scale)) < probability * static_cast<double>(scale);
}

struct trial_options
{
    std::size_t daemons = 9;
    std::size_t endpoints = 12;
    double soundPerSecond = 40.0;
    double deadlyPerSecond = 1.0;
    duration answerTime = 300ms; // to the piece after which a prompt counts as answered, or to the crash
    duration downTime = 3s;
    duration reportInterval = 100ms;
    double loss = 0.02;          // of datagrams
    std::uint64_t subjects = 60; // second parts of sound prompts
    bool oneCaller = false;      // all deadly prompts come to one daemon
    std::uint64_t seed = 1;
};

// Daemons that send prompts to endpoints. An endpoint that begins to answer a deadly prompt crashes and loses all prompts that it has.
class quarantine_trial
{
public:
    explicit quarantine_trial(const trial_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_downUntil(options.endpoints)
    {
        for (std::size_t i = 0; i < options.daemons; ++i) {
            daemons.push_back(std::make_unique<prompt_quarantine>(i + 1));
        }
    }

    std::vector<std::unique_ptr<prompt_quarantine>> daemons;
    std::vector<time_point> deliveries; // of deadly prompts to endpoints
    std::vector<time_point> crashes;    // by deadly prompts
    std::size_t refusedSound = 0;
    std::size_t sentSound = 0;
    std::function<bool(std::size_t, std::size_t)> hears = [](std::size_t, std::size_t) {
        return true;
    };
    time_point now = start;

    void run(duration span)
    {
        constexpr duration step = 10ms;
        for (const time_point until = now + span; now < until; now += step) {
            arrive(m_options.soundPerSecond, step, false);
            arrive(m_options.deadlyPerSecond, step, true);
            answerDue();
            report();
        }
    }

    // All prompts open at the endpoint are lost.
    void lose(std::size_t endpoint)
    {
        m_downUntil[endpoint] = now + m_options.downTime;
        std::erase_if(m_open, [&](const open_prompt &item) {
            if (item.endpoint == endpoint) {
                daemons[item.daemon]->onOutcome({item.parts, mixBits(endpoint + 1), false}, now);
            }
            return item.endpoint == endpoint;
        });
    }

    [[nodiscard]] bool isQuarantinedAt(std::size_t daemon, std::uint64_t part) const
    {
        const prompt_parts parts = daemons[daemon]->quarantined();
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    }

    // Deadly prompts that reached an endpoint later than `bound` after the fifth crash.
    [[nodiscard]] std::size_t deliveriesAfter(duration bound) const
    {
        if (crashes.size() < 5) {
            return 0;
        }
        return static_cast<std::size_t>(std::count_if(deliveries.begin(), deliveries.end(), [&](time_point at) { return at > crashes[4] + bound; }));
    }

private:
    struct open_prompt
    {
        std::size_t daemon = 0;
        std::size_t endpoint = 0;
        prompt_parts parts;
        time_point answerAt{};
        bool kills = false;
    };

    void arrive(double perSecond, duration step, bool kills)
    {
        if (!happens(perSecond * std::chrono::duration<double>(step).count(), m_random)) {
            return;
        }
        const std::uint64_t subject = 0x1000 + uniformBelow(m_random, m_options.subjects);
        const prompt_parts parts = kills ? prompt_parts{common, subject, deadly, m_random.next()} : prompt_parts{common, subject, m_random.next()};
        const std::size_t daemon = kills && m_options.oneCaller ? 0 : uniformBelow(m_random, daemons.size());
        const prompt_parts quarantined = daemons[daemon]->quarantined();
        const bool refused
            = std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) { return std::binary_search(quarantined.begin(), quarantined.end(), part); });
        refusedSound += !kills && refused ? 1 : 0;
        sentSound += !kills && !refused ? 1 : 0;
        const std::size_t endpoint = uniformBelow(m_random, m_downUntil.size());
        if (refused || now < m_downUntil[endpoint]) {
            return;
        }
        if (kills) {
            deliveries.push_back(now);
        }
        m_open.push_back({daemon, endpoint, parts, now + m_options.answerTime, kills});
    }

    void answerDue()
    {
        for (std::size_t i = 0; i < m_open.size();) {
            if (now < m_open[i].answerAt) {
                ++i;
            } else if (m_open[i].kills) {
                crashes.push_back(now);
                lose(m_open[i].endpoint);
                i = 0;
            } else {
                daemons[m_open[i].daemon]->onOutcome({m_open[i].parts, mixBits(m_open[i].endpoint + 1), true}, now);
                m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    }

    void report()
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            daemons[i]->update(daemons.size(), now);
            const duration phase = m_options.reportInterval * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(daemons.size());
            if ((now - start + phase) % m_options.reportInterval >= 10ms) {
                continue;
            }
            for (const std::string &bytes : daemons[i]->datagrams(datagramBytes, now)) {
                cr_assert_leq(bytes.size(), datagramBytes);
                for (std::size_t other = 0; other < daemons.size(); ++other) {
                    if (other != i && hears(i, other) && !happens(m_options.loss, m_random)) {
                        daemons[other]->receive(bytes, now);
                    }
                }
            }
        }
    }

    trial_options m_options;
    seeded_random m_random;
    std::vector<time_point> m_downUntil; // by endpoint
    std::vector<open_prompt> m_open;
};

// Few sound prompts may be refused: those whose own parts were lost again and again and never answered.
void expectOnlyDeadlyQuarantined(quarantine_trial &all, const trial_options &options, duration bound)
{
    all.run(20s);
    cr_expect_leq(all.deliveriesAfter(bound), 3, "seed %lu, %zu daemons: %zu deliveries after the bound, %zu crashes", static_cast<unsigned long>(options.seed),
        options.daemons, all.deliveriesAfter(bound), all.crashes.size());
    cr_expect_leq(all.refusedSound, all.sentSound / 50, "seed %lu, %zu daemons: %zu of %zu sound prompts refused", static_cast<unsigned long>(options.seed),
        options.daemons, all.refusedSound, all.sentSound);
}

} // namespace

Test(prompt_quarantine, a_deadly_part_reaches_few_endpoints_and_its_neighbours_are_served)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        trial_options options;
        options.seed = seed;
        options.deadlyPerSecond = 0.5 + static_cast<double>(seed % 5);
        quarantine_trial all(options);
        expectOnlyDeadlyQuarantined(all, options, 3s);
    }
}

Test(prompt_quarantine, ninety_daemons_find_a_deadly_part_in_time)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        trial_options options;
        options.daemons = 90;
        options.endpoints = 90;
        options.soundPerSecond = 60.0;
        options.deadlyPerSecond = 6.0;
        options.reportInterval = 450ms;
        options.seed = seed;
        quarantine_trial all(options);
        expectOnlyDeadlyQuarantined(all, options, 4s);
    }
}

// One caller's kept connection brings all deadly prompts to the same daemon.
Test(prompt_quarantine, a_deadly_part_that_only_one_daemon_sees_is_found)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        trial_options options;
        options.oneCaller = true;
        options.deadlyPerSecond = 2.0;
        options.seed = seed;
        quarantine_trial all(options);
        expectOnlyDeadlyQuarantined(all, options, 3s);
    }
}

// Two halves of the daemons cannot hear each other, a third part hears both.
Test(prompt_quarantine, a_deadly_part_is_found_while_daemons_cannot_hear_each_other)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        trial_options options;
        options.deadlyPerSecond = 2.0;
        options.seed = seed;
        quarantine_trial all(options);
        all.hears = [](std::size_t from, std::size_t to) {
            return from / 3 == to / 3 || from / 3 == 2 || to / 3 == 2;
        };
        expectOnlyDeadlyQuarantined(all, options, 3s);
    }
}

// Endpoints that are lost together, or one after the other, accuse every prompt that is open there.
Test(prompt_quarantine, crashes_with_another_cause_quarantine_nothing_that_is_shared)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        trial_options options;
        options.deadlyPerSecond = 0.0;
        options.seed = seed;
        quarantine_trial all(options);
        all.run(2s);
        for (int round = 0; round < 4; ++round) {
            for (std::size_t endpoint = 0; endpoint < (round % 2 == 0 ? options.endpoints : options.endpoints / 3); ++endpoint) {
                all.lose(endpoint);
            }
            all.run(3500ms);
        }
        cr_expect_eq(all.refusedSound, 0, "seed %lu: %zu sound prompts refused", static_cast<unsigned long>(seed), all.refusedSound);
    }
}

// A daemon whose links are cut loses every request at every endpoint. It quarantines nothing, and others know that a shared part is sound.
Test(prompt_quarantine, a_daemon_that_loses_every_endpoint_accuses_no_prompt)
{
    prompt_quarantine lone(1);
    for (int i = 0; i < 40; ++i) {
        lone.onOutcome({{common, 0x2000}, mixBits(static_cast<std::uint64_t>(i)), false}, start + i * 200ms);
        cr_assert(lone.update(9, start + i * 200ms).empty(), "quarantined after %d losses", i + 1);
    }
    prompt_quarantine other(2);
    other.onOutcome({{common}, 7, true}, start + 9s);
    for (const std::string &bytes : lone.datagrams(datagramBytes, start + 9s)) {
        other.receive(bytes, start + 9s);
    }
    other.onOutcome({{common}, 7, true}, start + 10s);
    const auto changes = other.update(9, start + 10s);
    cr_assert(std::none_of(changes.begin(), changes.end(), [](const quarantine_change &change) { return change.item.part == common; }));
}

// A part that was sound for long begins to crash endpoints.
Test(prompt_quarantine, a_part_that_was_sound_is_quarantined_once_it_is_never_answered_any_more)
{
    prompt_quarantine first(1);
    prompt_quarantine second(2);
    for (int i = 0; i < 50; ++i) {
        first.onOutcome({{common, deadly}, 7, true}, start + i * 100ms);
    }
    std::size_t crashes = 0;
    time_point now = start + 5s;
    while (first.quarantined().empty() && crashes < 20) {
        now += 500ms;
        (crashes % 2 == 0 ? first : second).onOutcome({{common, deadly}, mixBits(++crashes), false}, now);
        first.onOutcome({{common}, 7, true}, now + 200ms);
        second.onOutcome({{common}, 7, true}, now + 200ms);
        for (const std::string &bytes : second.datagrams(datagramBytes, now)) {
            first.receive(bytes, now);
        }
        first.update(2, now + 250ms);
    }
    cr_assert(first.quarantined() == prompt_parts{deadly});
    cr_assert_leq(crashes, 6);
}

Test(prompt_quarantine, a_quarantine_is_adopted_once_passed_on_and_ends)
{
    prompt_quarantine first(1);
    prompt_quarantine second(2);
    first.adopt({deadly, start + 60s}, start);
    first.adopt({deadly, start + 90s}, start);
    cr_assert_eq(first.update(2, start).size(), 1);
    for (const std::string &bytes : first.datagrams(datagramBytes, start)) {
        second.receive(bytes, start);
    }
    const auto told = second.update(2, start);
    cr_assert(told.size() == 1 && told[0].why == quarantine_change::cause::Adopted && told[0].item.until == start + 60s);
    cr_assert(second.quarantined() == prompt_parts{deadly});
    const auto ended = second.update(2, start + 60s);
    cr_assert(ended.size() == 1 && ended[0].why == quarantine_change::cause::Ended);
    cr_assert(second.quarantined().empty());
    second.adopt({deadly, start + 60s}, start + 61s);
    cr_assert(second.update(2, start + 61s).empty(), "a quarantine that has ended is not adopted");
}

Test(prompt_quarantine, a_message_survives_its_encoding_and_garbage_is_none)
{
    quarantine_message message;
    message.origin = UINT64_MAX;
    message.reports.push_back({deadly, 2, {{7, start - 400ms}, {9, start}}, start - 2s});
    message.reports.push_back({common, 0, {{7, start - 400ms}}, {}});
    message.quarantined.push_back({deadly, start + 30s});
    const std::string bytes = encodeQuarantine(message, start);
    const auto read = decodeQuarantine(bytes, start + 10s); // on another clock
    cr_assert(read && read->origin == UINT64_MAX && read->reports.size() == 2 && read->quarantined.size() == 1);
    cr_assert(read->reports[0].part == deadly && read->reports[0].depth == 2 && read->reports[0].crashes.size() == 2);
    cr_assert(read->reports[0].crashes[0].endpoint == 7 && read->reports[0].crashes[0].at == start + 9600ms && read->reports[0].answeredAt == start + 8s);
    cr_assert(read->reports[1].answeredAt == time_point{} && read->quarantined[0].until == start + 40s);
    cr_assert(!decodeQuarantine("garbage", start));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        cr_assert(!decodeQuarantine(bytes.substr(0, size), start), "cut at %zu", size);
    }
    seeded_random random(5);
    prompt_quarantine keeper(1);
    for (int i = 0; i < 20'000; ++i) {
        std::string spoiled = bytes;
        spoiled[uniformBelow(random, spoiled.size())] = static_cast<char>(random.next());
        keeper.receive(spoiled, start);
        keeper.update(3, start);
    }
    cr_assert_leq(keeper.suspectCount(), 512);
}
