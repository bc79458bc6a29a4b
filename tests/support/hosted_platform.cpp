// The hosted platform's stand-ins.
#include "support/hosted_platform.h"

#include "chicoryrouter/bounded_counter.h"
#include "shell/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <openssl/evp.h>

#include <cstdio>
#include <cstdlib>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

std::int64_t unixMillis()
{
    return std::chrono::floor<std::chrono::milliseconds>(systemNow().time_since_epoch()).count();
}

std::string encode(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string decode(const std::string &text)
{
    std::string bytes(text.size() + 4, '\0');
    const int size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size) - padding);
    return bytes;
}

std::string unescape(const std::string &text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool coded = text[i] == '%' && i + 2 < text.size();
        plain += coded ? static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)) : text[i];
        i += coded ? 2 : 0;
    }
    return plain;
}

asio::awaitable<void> pause(http_exchange &exchange, duration span)
{
    asio::steady_timer timer(exchange.executor(), span);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> respondJson(http_exchange &exchange, int status, const json &body, http_headers extra)
{
    std::string text = body.dump();
    co_await exchange.respond(status, "application/json", std::move(text), std::move(extra));
}

bool takeOne(std::atomic<int> &knob)
{
    int left = knob.load();
    while (left > 0 && !knob.compare_exchange_weak(left, left - 1)) {
    }
    return left > 0;
}

} // namespace

// ---- The store -------------------------------------------------------------------------------------------------------------------------

hosted_stand_in::hosted_stand_in(const worker_pool &workers)
    : m_workers(workers)
{
}

hosted_stand_in::~hosted_stand_in()
{
    if (!m_workers.stopped()) {
        std::fputs("a stand-in ends while requests to it may still be answered: stop its workers first\n", stderr);
        std::abort();
    }
}

hosted_store::hosted_store(worker_pool &workers)
    : hosted_stand_in(workers)
    , m_server(workers, {"127.0.0.1", 0}, [this](http_exchange &exchange) { return handle(exchange); })
{
}

void hosted_store::write(const std::string &key, std::string encoded, std::uint64_t lease)
{
    item &held = m_now.items[key];
    held.value = std::move(encoded);
    held.revision = ++m_now.revision;
    held.createdAt = held.createdAt == 0 ? held.revision : held.createdAt;
    held.lease = lease;
    m_now.changes.push_back({key, held.revision, false, held});
}

void hosted_store::erase(const std::string &key)
{
    if (m_now.items.erase(key) > 0) {
        m_now.changes.push_back({key, ++m_now.revision, true, {}});
    }
}

void hosted_store::endLapsed()
{
    for (auto held = m_now.leases.begin(); held != m_now.leases.end();) {
        if (held->second.until > systemNow()) {
            ++held;
            continue;
        }
        std::vector<std::string> gone;
        for (const auto &[key, value] : m_now.items) {
            if (value.lease == held->first) {
                gone.push_back(key);
            }
        }
        for (const std::string &key : gone) {
            erase(key);
        }
        held = m_now.leases.erase(held);
    }
}

void hosted_store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard guard(m_lock);
    write(key, encode(value), 0);
}

void hosted_store::remove(const std::string &key)
{
    const std::lock_guard guard(m_lock);
    erase(key);
}

std::string hosted_store::value(const std::string &key)
{
    const std::lock_guard guard(m_lock);
    const auto found = m_now.items.find(key);
    return found == m_now.items.end() ? std::string() : decode(found->second.value);
}

std::vector<std::string> hosted_store::keys(const std::string &prefix)
{
    const std::lock_guard guard(m_lock);
    std::vector<std::string> found;
    for (const auto &[key, value] : m_now.items) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
            found.push_back(key);
        }
    }
    return found;
}

void hosted_store::lapseLeases()
{
    const std::lock_guard guard(m_lock);
    for (auto &[id, held] : m_now.leases) {
        held.until = {};
    }
    endLapsed();
}

void hosted_store::takeCopy()
{
    const std::lock_guard guard(m_lock);
    endLapsed();
    m_copy = m_now;
}

void hosted_store::comeBackFromCopy()
{
    const std::lock_guard guard(m_lock);
    becomeCopy();
    for (auto held = m_now.items.begin(); held != m_now.items.end();) {
        held = held->second.lease != 0 ? m_now.items.erase(held) : std::next(held);
    }
    m_now.leases.clear();
}

void hosted_store::comeBackFromCopyWithLeases()
{
    const std::lock_guard guard(m_lock);
    becomeCopy();
    for (auto &[id, held] : m_now.leases) {
        held.until = systemNow() + held.term;
    }
}

void hosted_store::becomeCopy()
{
    m_now = m_copy;
    m_forgotten.clear();
    ++m_era;
}

std::uint64_t hosted_store::era()
{
    const std::lock_guard guard(m_lock);
    return m_era;
}

std::uint64_t hosted_store::revision()
{
    const std::lock_guard guard(m_lock);
    return m_now.revision;
}

std::uint64_t hosted_store::revisionOf(const std::string &key)
{
    const std::lock_guard guard(m_lock);
    const auto found = m_now.items.find(key);
    return found == m_now.items.end() ? 0 : found->second.revision;
}

http_headers hosted_store::eraHeader() const
{
    return faults.eraless ? http_headers{} : http_headers{{"Store-Era", std::to_string(m_era)}};
}

json hosted_store::itemJson(const std::string &key, const item &held) const
{
    return {{"Key", key}, {"Value", held.value}, {"Revision", held.revision}, {"CreatedAt", held.createdAt}, {"Lease", held.lease}};
}

asio::awaitable<void> hosted_store::handle(http_exchange &exchange)
{
    ++m_calls;
    const std::string path = exchange.request.path;
    if (faults.down) {
        exchange.abandon();
        co_return;
    }
    if (faults.silent) {
        co_await pause(exchange, 60s);
        co_return;
    }
    http_headers extra;
    if (faults.refusing || (faults.refusingWrites && path == "/api/kv-txn")) {
        const json nothing = json::object();
        {
            const std::lock_guard guard(m_lock);
            extra = eraHeader();
        }
        co_await respondJson(exchange, 503, nothing, std::move(extra));
        co_return;
    }
    if (path == "/api/kv-watch") {
        co_await answerWatch(exchange);
        co_return;
    }
    if (path == "/api/kv-txn") {
        co_await answerChange(exchange);
        co_return;
    }
    json answer = json::object();
    int status = 200;
    {
        const std::lock_guard guard(m_lock);
        endLapsed();
        if (path == "/api/kv-range") {
            const std::string prefix = unescape(exchange.request.parameter("Prefix"));
            const std::string after = unescape(exchange.request.parameter("After"));
            answer = {{"Items", json::array()}, {"HasMore", false}, {"At", m_now.revision}};
            for (const auto &[key, held] : m_now.items) {
                if (key.compare(0, prefix.size(), prefix) != 0 || (!after.empty() && key <= after)) {
                    continue;
                }
                if (answer["Items"].size() == 3) { // small pages, so that clients have to turn them
                    answer["HasMore"] = true;
                    break;
                }
                answer["Items"].push_back(itemJson(key, held));
            }
        } else if (path == "/api/kv-lease") {
            const json wanted = json::parse(exchange.request.body);
            const duration term = std::chrono::milliseconds(wanted.at("TtlMs").get<std::int64_t>());
            m_now.leases[++m_now.nextLease] = {systemNow() + term, term};
            answer = {{"Lease", m_now.nextLease}, {"TtlMs", wanted.at("TtlMs")}};
        } else if (path.rfind("/api/kv-keep/", 0) == 0 || path.rfind("/api/kv-lease-end/", 0) == 0) {
            const auto found = m_now.leases.find(std::stoull(path.substr(path.rfind('/') + 1)));
            status = found == m_now.leases.end() ? 404 : 200;
            if (found != m_now.leases.end()) {
                const bool ends = path.rfind("/api/kv-lease-end/", 0) == 0;
                found->second.until = ends ? time_point{} : systemNow() + found->second.term;
                endLapsed();
            }
        } else {
            status = 404;
        }
        extra = eraHeader();
    }
    if (onPage && answer.contains("Items") && !answer["Items"].empty()) {
        onPage(answer["Items"].back()["Key"]);
    }
    co_await answerItems(exchange, status, std::move(answer), std::move(extra));
}

// A list or watch's answer, as fast as the link is.
asio::awaitable<void> hosted_store::answerItems(http_exchange &exchange, int status, json answer, http_headers extra) const
{
    const int rate = faults.bytesPerSecond;
    if (rate == 0) {
        co_await respondJson(exchange, status, answer, std::move(extra));
        co_return;
    }
    constexpr duration pieceEach = 50ms;
    const std::string text = answer.dump();
    extra.push_back({"Content-Type", "application/json"});
    bool open = co_await exchange.startStreamWithHeaders(status, std::move(extra));
    const time_point begun = systemNow();
    std::size_t sent = 0;
    while (open && sent < text.size()) {
        // By the clock, not by the pieces sent: a busy machine must not make the link thinner.
        const double due = rate * std::chrono::duration<double>(systemNow() + pieceEach - begun).count();
        const std::size_t piece = std::min(text.size(), static_cast<std::size_t>(due)) - sent;
        open = co_await exchange.writeChunk(std::string_view(text).substr(sent, piece));
        sent += piece;
        co_await pause(exchange, pieceEach);
    }
    if (open) {
        co_await exchange.endStream();
    }
}

asio::awaitable<void> hosted_store::answerWatch(http_exchange &exchange)
{
    const std::string prefix = unescape(exchange.request.parameter("Prefix"));
    const std::uint64_t after = std::stoull(exchange.request.parameter("After"));
    const time_point until = systemNow() + std::chrono::milliseconds(std::stoll(exchange.request.parameter("WaitMs")));
    json answer = {{"events", json::array()}, {"At", after}};
    int status = 200;
    http_headers extra;
    std::uint64_t eraAsked = 0; // 0: not looked yet
    bool cut = false;           // the store came back from a copy: its changes are others now, also under the same revisions
    bool waits = true;
    const scoped_count waiting(m_watching);
    while (waits) {
        {
            const std::lock_guard guard(m_lock);
            endLapsed();
            eraAsked = eraAsked == 0 ? m_era : eraAsked;
            cut = eraAsked != m_era;
            extra = eraHeader();
            answer["At"] = m_now.revision;
            status = after > m_now.revision ? 410 : 200; // a revision that it doesn't have
            for (const change &item : m_now.changes) {
                if (item.revision > after && item.key.compare(0, prefix.size(), prefix) == 0) {
                    const json gone = {{"Key", item.key}, {"Revision", item.revision}, {"Deleted", true}};
                    answer["events"].push_back(item.deleted ? gone : itemJson(item.key, item.now));
                }
            }
            if (faults.forgetful && m_forgotten.insert(after).second) {
                status = 410;
            }
        }
        waits = systemNow() < until && answer["events"].empty() && status == 200 && !cut && !faults.down && !faults.silent;
        if (waits) {
            co_await pause(exchange, 10ms);
        }
    }
    if (faults.silent) {
        co_await pause(exchange, 60s);
    }
    if (faults.down || cut) {
        exchange.abandon();
        co_return;
    }
    co_await answerItems(exchange, status, std::move(answer), std::move(extra));
}

asio::awaitable<void> hosted_store::answerChange(http_exchange &exchange)
{
    const json wanted = json::parse(exchange.request.body);
    json answer = json::object();
    int status = 200;
    http_headers extra;
    {
        const std::lock_guard guard(m_lock);
        endLapsed();
        for (const json &row : wanted.at("ExpectedRev")) {
            const auto held = m_now.items.find(row.at("Key"));
            const std::uint64_t revision = held == m_now.items.end() ? 0 : held->second.revision;
            status = revision == row.at("Revision").get<std::uint64_t>() ? status : 412;
        }
        for (const json &row : wanted.at("Writes")) {
            const std::uint64_t lease = row.value("Lease", std::uint64_t{0});
            status = status == 200 && lease != 0 && m_now.leases.count(lease) == 0 ? 404 : status;
        }
        if (status == 200) {
            for (const json &row : wanted.at("Writes")) {
                write(row.at("Key"), row.at("Value"), row.value("Lease", std::uint64_t{0}));
            }
            for (const json &key : wanted.at("Remove")) {
                erase(key);
            }
            answer["Revision"] = m_now.revision;
        }
        extra = eraHeader();
    }
    if (status == 200 && takeOne(faults.loseReplies)) {
        exchange.abandon();
        co_return;
    }
    co_await respondJson(exchange, status, answer, std::move(extra));
}

// ---- Endpoints -------------------------------------------------------------------------------------------------------------------------

std::string hostedEvent(std::uint32_t number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

hosted_endpoint::hosted_endpoint(worker_pool &workers, std::string id)
    : hosted_stand_in(workers)
    , m_id(std::move(id))
    , m_born(unixMillis())
    , m_server(workers, {"127.0.0.1", 0}, [this](http_exchange &exchange) { return handle(exchange); })
{
}

void hosted_endpoint::startAgain()
{
    m_born = std::max(unixMillis(), m_born + 1);
}

std::map<std::string, int> hosted_endpoint::runs()
{
    const std::lock_guard guard(m_lock);
    return m_runs;
}

std::vector<http_request> hosted_endpoint::seen()
{
    const std::lock_guard guard(m_lock);
    return m_seen;
}

std::string hosted_endpoint::entry(const std::string &service, const std::string &domain, const std::string &state) const
{
    return json({{"Service", service}, {"Address", "127.0.0.1:" + std::to_string(where().port)}, {"Zone", domain}, {"Version", "v1"}, {"Slots", 4},
                    {"State", state}, {"ColdRemainingMs", 0}, {"Sequence", 1}, {"born", m_born.load()}})
        .dump();
}

std::vector<time_point> hosted_endpoint::crashes()
{
    const std::lock_guard guard(m_lock);
    return m_crashes;
}

void hosted_endpoint::crash()
{
    {
        const std::lock_guard guard(m_lock);
        m_crashes.push_back(systemNow());
    }
    m_server.abortConnections();
}

bool hosted_endpoint::isDown()
{
    const std::lock_guard guard(m_lock);
    return !m_crashes.empty() && systemNow() < m_crashes.back() + std::chrono::milliseconds(faults.downMillis);
}

asio::awaitable<void> hosted_endpoint::handle(http_exchange &exchange)
{
    if (isDown()) {
        exchange.abandon();
        co_return;
    }
    const scoped_count counted(m_open);
    const std::string request(exchange.request.header("X-Request-Id"));
    {
        const std::lock_guard guard(m_lock);
        m_seen.push_back(exchange.request);
    }
    const std::string_view target = exchange.request.header("X-Target-Instance");
    http_headers headers = {{"X-Request-Id", request}};
    if (faults.saysLeaving) {
        headers.push_back({"Server-Leaving", "1"});
    }
    if (faults.otherInstance || (!target.empty() && target != m_id)) {
        co_await exchange.respondWithHeaders(421, std::move(headers), "another endpoint");
        co_return;
    }
    if (const int rest = faults.restSeconds; rest > 0) {
        headers.push_back({"X-Not-Executed", "1"});
        headers.push_back({"Retry-After", std::to_string(rest)});
        co_await exchange.respondWithHeaders(503, std::move(headers), "resting");
        co_return;
    }
    if (takeOne(faults.refuseNext)) {
        headers.push_back({"X-Not-Executed", "1"});
        co_await exchange.respondWithHeaders(503, std::move(headers), "full");
        co_return;
    }
    bool repeated = false;
    {
        const std::lock_guard guard(m_lock);
        repeated = ++m_runs[request] > 1;
    }
    if (takeOne(faults.silentNext)) {
        co_await pause(exchange, 30s);
    }
    co_await pause(exchange, std::chrono::milliseconds(faults.workMillis.load()));
    if (faults.crashesOnPart && exchange.request.header("X-Prompt-Prefix").find(hostedDeadlyPart) != std::string_view::npos) {
        crash();
        exchange.abandon();
        co_return;
    }
    const bool foreign = takeOne(faults.foreignNext);
    headers[0].value = foreign ? "somebody-else" : request;
    headers.push_back({"X-Response-Seal", "seal-" + m_id});
    headers.push_back({"X-Server-Load", "1,0,4"});
    const int repeatStatus = repeated ? faults.repeatStatus.load() : 0;
    if (repeatStatus != 0 || takeOne(faults.failNext)) {
        co_await exchange.respondWithHeaders(repeatStatus != 0 ? repeatStatus : 500, std::move(headers), "failed");
        co_return;
    }
    const bool cut = takeOne(faults.cutNext);
    const bool streams = exchange.request.path.rfind("/write/", 0) == 0 || exchange.request.path.rfind("/chat/", 0) == 0;
    if (streams) {
        headers.push_back({"Content-Type", "text/event-stream"});
        const bool open = co_await exchange.startStreamWithHeaders(200, std::move(headers));
        if (open) {
            co_await stream(exchange, cut);
        }
        co_return;
    }
    if (cut) {
        exchange.abandon();
        co_return;
    }
    headers.push_back({"Content-Type", "text/plain"});
    co_await exchange.respondWithHeaders(200, std::move(headers), "answer to " + exchange.request.target);
}

asio::awaitable<void> hosted_endpoint::stream(http_exchange &exchange, bool cut)
{
    const std::string_view last = exchange.request.header("Last-Event-Id");
    const std::uint32_t from = last.empty() ? 1 : static_cast<std::uint32_t>(std::stoul(std::string(last))) + 1;
    if (cut && faults.cutAtEvent == 0) {
        exchange.abandon();
        co_return;
    }
    for (std::uint32_t number = from; number <= hostedEvents; ++number) {
        const std::string event = hostedEvent(number);
        const bool stops = cut && number == faults.cutAtEvent;
        const std::string_view bytes = stops ? std::string_view(event).substr(0, event.size() / 2) : std::string_view(event);
        const bool open = co_await exchange.writeChunk(bytes);
        if (!open || stops) {
            exchange.abandon();
            co_return;
        }
        co_await pause(exchange, std::chrono::milliseconds(faults.workMillis.load()));
    }
    co_await exchange.endStream();
}

// ---- Duties ----------------------------------------------------------------------------------------------------------------------------

hosted_cloud::hosted_cloud(worker_pool &workers)
    : hosted_stand_in(workers)
    , m_server(workers, {"127.0.0.1", 0}, [this](http_exchange &exchange) -> asio::awaitable<void> {
        duty_call call;
        call.path = exchange.request.path;
        call.holder = std::string(exchange.request.header("X-Duty-Holder"));
        call.fencing = std::stoull(std::string(exchange.request.header("X-Fencing-Token")));
        call.body = json::parse(exchange.request.body);
        {
            const std::lock_guard guard(m_lock);
            call.at = systemNow();
            m_calls.push_back(std::move(call));
        }
        const int answered = status.load();
        co_await exchange.respond(answered, "application/json", "{}");
    })
{
}

std::vector<duty_call> hosted_cloud::calls()
{
    const std::lock_guard guard(m_lock);
    return m_calls;
}

// ---- A deployment ----------------------------------------------------------------------------------------------------------------------

settings hostedSettings(const std::string &name, const std::string &domain, const hosted_store &store, const hosted_cloud *cloud)
{
    settings own;
    own.instance = name;
    own.failureDomain = domain;
    own.region = "west";
    own.domains = {{"west-1", "west"}, {"west-2", "west"}};
    own.gateway = {"127.0.0.1", 0};
    own.readiness = {"127.0.0.1", 0};
    own.peer = {"127.0.0.1", 0};
    own.hosted = true;
    own.keyValue = store.where();
    own.cloud = cloud == nullptr ? address{} : cloud->where();
    own.peerKey = "a key for tests, long enough";
    own.threads = 1;
    own.stopWithin = 5s;
    own.leaseTerm = 1s;
    own.usageWindow = 1s;
    return own;
}

json hostedConfiguration()
{
    const json writer = {{"Name", "writer"}, {"HealthPath", "/health"}, {"MaxConnections", 100}, {"ColdStartS", 3.0}, {"ColdPerS", 12.0},
        {"Engine", {{"Slots", 4}, {"KvCapacityTokens", 1000}}},
        {"Scaling", {{"Min", 1}, {"Max", 10}, {"BootS", 4.0}, {"SpotPrice", 0.2}, {"ZonePrices", {{"west-1", 1.0}, {"west-2", 0.8}}}}}};
    const json shop = {{"Name", "shop"}, {"HealthPath", "/health"}, {"MaxConnections", 100}, {"ColdStartS", 0.0}, {"ColdPerS", 0.0}};
    const json draft = {{"Name", "draft"}, {"Host", "tassel.example"}, {"Prefix", "/write/"}, {"Kind", "streaming"}, {"TimeoutMs", 15000}, {"SloMs", 1000},
        {"Priority", 1}, {"Service", "writer"}, {"MaxAttempts", 1}, {"Affinity", true}, {"StreamResume", false}, {"GapTargetMs", 400}};
    const json chat = {{"Name", "chat"}, {"Host", "tassel.example"}, {"Prefix", "/chat/"}, {"Kind", "streaming"}, {"TimeoutMs", 12000}, {"SloMs", 500},
        {"Priority", 0}, {"Service", "writer"}, {"MaxAttempts", 2}, {"Affinity", true}, {"StreamResume", true}, {"GapTargetMs", 400}};
    const json order = {{"Name", "order"}, {"Host", "tassel.example"}, {"Prefix", "/order/"}, {"Kind", "non_idempotent"}, {"TimeoutMs", 3000}, {"SloMs", 300},
        {"Priority", 2}, {"Service", "shop"}, {"MaxAttempts", 1}};
    const json look = {{"Name", "look"}, {"Host", "tassel.example"}, {"Prefix", "/look/"}, {"Kind", "idempotent"}, {"TimeoutMs", 3000}, {"SloMs", 300},
        {"Priority", 2}, {"Service", "shop"}, {"MaxAttempts", 2}};
    const json account = {{"Name", "guild"}, {"ApiKeys", {"key-1"}}, {"Unit", "token_count"}, {"PlainTokens", 200}, {"RatePerS", 0}, {"Burst", 0}};
    return {{"Version", 1}, {"Routes", {draft, chat, order, look}}, {"Services", {writer, shop}}, {"Tenants", json::array({account})},
        {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 100000}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}};
}

} // namespace chicoryrouter
