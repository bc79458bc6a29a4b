// Copies of requests at peers, handovers, and reading an answer that another instance holds.
#include "shell/copy_manager.h"

#include "chicoryrouter/hash.h"
#include "shell/clock.h"
#include "shell/context_runner.h"
#include "shell/worker_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

using namespace std::chrono_literals;

constexpr duration copyTimeout = 300ms; // per call to one peer
constexpr std::size_t maxPeersTried = 3;
constexpr duration copyRetention = 30min; // of a copy of another daemon's request, from its last update, where its owner never drops it
constexpr duration expiryInterval = 1s;
constexpr std::size_t maxReplyBytes = 1024 * 1024;      // of tokens in one reply to a fetch; the rest follows with the next
constexpr duration fetchPollTimeout = 2s;               // a peer holds a fetch open for this long while it waits for more tokens
constexpr std::string_view needsFullCopy = "needs-all"; // reply of a receiver that lacks the earlier tokens or the payload

// Memory of a held copy.
std::size_t bytesOf(const request_snapshot &snapshot)
{
    std::size_t bytes = snapshot.payload.prompt.size() + snapshot.payload.body.size();
    for (const std::string &token : snapshot.tokens) {
        bytes += token.size() + sizeof(std::string);
    }
    return bytes;
}

std::string pack(const json &value)
{
    const auto packed = json::to_msgpack(value);
    return {packed.begin(), packed.end()};
}

json unpack(const std::string &bytes)
{
    json value = json::from_msgpack(bytes, true, false);
    if (value.is_discarded()) {
        throw error(error_kind::BadRequest, "a peer's message is not valid MessagePack");
    }
    return value;
}

} // namespace

std::string encodeSnapshot(const request_snapshot &snapshot)
{
    json value = {{"id", snapshot.id}, {"owner", snapshot.owner}, {"account", snapshot.account}, {"route", snapshot.route},
        {"arrival", snapshot.arrival.time_since_epoch().count()}, {"first", snapshot.firstToken}, {"tokens", snapshot.tokens}, {"go_on", snapshot.takeOver}};
    if (!snapshot.payload.prompt.empty()) {
        value["payload"] = {{"prompt", snapshot.payload.prompt}, {"max_tokens", snapshot.payload.maxTokens}, {"chat", snapshot.payload.chat}};
    }
    return pack(value);
}

std::optional<request_snapshot> decodeSnapshot(const std::string &bytes)
{
    try {
        const json value = unpack(bytes);
        request_snapshot snapshot;
        snapshot.id = value.at("id");
        snapshot.owner = value.at("owner");
        snapshot.account = value.at("account");
        snapshot.route = value.at("route");
        snapshot.arrival = time_point(duration(value.at("arrival").get<std::int64_t>()));
        snapshot.firstToken = value.at("first");
        snapshot.tokens = value.at("tokens").get<std::vector<std::string>>();
        snapshot.takeOver = value.at("go_on");
        if (value.contains("payload")) {
            const json &payload = value["payload"];
            snapshot.payload.prompt = payload.at("prompt");
            snapshot.payload.maxTokens = payload.at("max_tokens");
            snapshot.payload.chat = payload.at("chat");
            snapshot.payload.stream = true;
        }
        return snapshot;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

copy_manager::copy_manager(request_host &host, gateway &front, worker_pool &workers)
    : m_host(host)
    , m_gateway(front)
    , m_workers(workers)
{
}

// ---- Copies of this daemon's requests, held by peers -----------------------------------------------------------------------------------

bool copy_manager::available() const
{
    return !candidates("").empty();
}

// Orders the live peers: those in another failure domain first, so that one wave of reclaims does not take the owner and the copy;
// then by rendezvous hashing, so that copies are spread over the peers.
std::vector<member_info> copy_manager::candidates(const std::string &requestId) const
{
    const peer_view &members = view.read();
    std::vector<member_info> result;
    for (const member_info &item : members.livePeers) {
        if (item.state == member_state::Alive) {
            result.push_back(item);
        }
    }
    const std::uint64_t key = hashBytes(requestId);
    const std::string &ownDomain = members.ownFailureDomain;
    std::sort(result.begin(), result.end(), [&](const member_info &a, const member_info &b) {
        const bool otherDomainA = a.failureDomain != ownDomain;
        const bool otherDomainB = b.failureDomain != ownDomain;
        return otherDomainA != otherDomainB ? otherDomainA : rendezvousWeight(key, hashBytes(a.instance)) > rendezvousWeight(key, hashBytes(b.instance));
    });
    return result;
}

request_snapshot copy_manager::snapshotOf(const request_session &session, std::uint32_t from, std::uint32_t to, bool withPayload) const
{
    request_snapshot snapshot;
    const request_facts &facts = session.facts();
    snapshot.id = facts.id;
    snapshot.owner = view.read().self;
    snapshot.account = facts.account;
    snapshot.route = facts.route.route;
    snapshot.arrival = facts.arrival;
    snapshot.firstToken = from;
    for (std::uint32_t i = from; i < to; ++i) {
        snapshot.tokens.emplace_back(session.token(i));
    }
    if (withPayload) {
        snapshot.payload = session.payload();
    }
    return snapshot;
}

asio::awaitable<bool> copy_manager::sendSnapshot(const member_info &peer, request_snapshot snapshot)
{
    std::string body = encodeSnapshot(snapshot);
    const time_point deadline = systemNow() + copyTimeout;
    const std::optional<std::string> answer = co_await gateway::currentThread().peers.call(peer.peer, "/copy", std::move(body), deadline);
    co_return answer &&*answer != needsFullCopy;
}

asio::awaitable<bool> copy_manager::sendUpdate(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to, bool takeOver)
{
    const std::string id = session->facts().id;
    std::optional<member_info> holder;
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_copyHolders.find(id);
        if (found != m_copyHolders.end()) {
            holder = found->second;
        }
    }
    if (holder) {
        request_snapshot update = snapshotOf(*session, from, to, false);
        update.takeOver = takeOver;
        if (co_await sendSnapshot(*holder, std::move(update))) {
            co_return true;
        }
    }
    std::size_t tried = 0;
    for (const member_info &peer : candidates(id)) {
        if (++tried > maxPeersTried) {
            break;
        }
        request_snapshot fullSnapshot = snapshotOf(*session, 0, to, true);
        fullSnapshot.takeOver = takeOver;
        if (co_await sendSnapshot(peer, std::move(fullSnapshot))) {
            const std::lock_guard guard(m_lock);
            m_copyHolders[id] = peer;
            co_return true;
        }
    }
    const std::lock_guard guard(m_lock);
    m_copyHolders.erase(id);
    co_return false;
}

asio::awaitable<bool> copy_manager::copy(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to)
{
    co_return co_await sendUpdate(std::move(session), from, to, false);
}

asio::awaitable<bool> copy_manager::handOver(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to)
{
    co_return co_await sendUpdate(std::move(session), from, to, true);
}

void copy_manager::drop(const std::string &requestId)
{
    std::optional<member_info> holder;
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_copyHolders.find(requestId);
        if (found == m_copyHolders.end()) {
            return;
        }
        holder = found->second;
        m_copyHolders.erase(found);
    }
    asio::co_spawn(
        m_workers.nextContext(),
        [holder = *holder, requestId]() -> asio::awaitable<void> {
            const time_point deadline = systemNow() + copyTimeout;
            co_await gateway::currentThread().peers.call(holder.peer, "/drop", requestId, deadline);
        },
        logged_end("drop of a copy"));
}

// ---- Copies of other daemons' requests, held here --------------------------------------------------------------------------------------

asio::awaitable<std::optional<std::string>> copy_manager::onCopy(std::string body)
{
    std::optional<request_snapshot> snapshot = decodeSnapshot(body);
    if (!snapshot || m_gateway.stopping) {
        co_return std::nullopt;
    }
    std::optional<request_snapshot> toResume;
    {
        const std::lock_guard guard(m_lock);
        forgetExpiredCopies(systemNow());
        const auto found = m_heldCopies.find(snapshot->id);
        const bool isFullCopy = !snapshot->payload.prompt.empty() && snapshot->firstToken == 0;
        const bool extendsCopy = found != m_heldCopies.end() && found->second.request.tokens.size() >= snapshot->firstToken;
        if (!isFullCopy && !extendsCopy) {
            co_return std::string(needsFullCopy);
        }
        held_copy &copy = m_heldCopies.try_emplace(snapshot->id, m_host.keptBytes).first->second;
        if (isFullCopy) {
            copy.request = *snapshot;
        } else {
            std::vector<std::string> &tokens = copy.request.tokens;
            tokens.resize(snapshot->firstToken);
            tokens.insert(tokens.end(), snapshot->tokens.begin(), snapshot->tokens.end());
        }
        copy.forgetAt = systemNow() + copyRetention;
        const std::size_t bytes = bytesOf(copy.request);
        if (snapshot->takeOver) {
            toResume = std::move(copy.request);
            m_heldCopies.erase(snapshot->id);
        } else if (copy.bytes.mayHave(bytes)) {
            copy.bytes.set(bytes);
        } else {
            m_heldCopies.erase(snapshot->id);
            co_return std::nullopt; // the owner asks another peer
        }
    }
    if (toResume) {
        resumeRequest(std::move(*toResume));
    }
    co_return std::string("held");
}

asio::awaitable<std::optional<std::string>> copy_manager::onDrop(std::string body)
{
    const std::lock_guard guard(m_lock);
    m_heldCopies.erase(body);
    co_return std::string();
}

void copy_manager::takeOverFrom(const std::vector<std::string> &goneInstances)
{
    std::vector<request_snapshot> orphans;
    {
        const std::lock_guard guard(m_lock);
        for (auto item = m_heldCopies.begin(); item != m_heldCopies.end();) {
            if (std::find(goneInstances.begin(), goneInstances.end(), item->second.request.owner) == goneInstances.end()) {
                ++item;
                continue;
            }
            orphans.push_back(std::move(item->second.request));
            item = m_heldCopies.erase(item);
        }
    }
    for (request_snapshot &orphan : orphans) {
        resumeRequest(std::move(orphan));
    }
}

void copy_manager::forgetExpiredCopies(time_point now)
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + expiryInterval;
    std::erase_if(m_heldCopies, [now](const auto &item) { return item.second.forgetAt <= now; });
}

void copy_manager::resumeRequest(request_snapshot snapshot)
{
    asio::post(m_workers.nextContext(), [this, resumed = std::move(snapshot)]() mutable {
        const document &content = m_gateway.config.read().document->content;
        const contract *route = content.findModelRoute(resumed.route);
        if (route == nullptr || m_host.find(resumed.id) != nullptr) {
            logEvent(log_event::NotTakenOver, {{"request", resumed.id}, {"from", resumed.owner}});
            return;
        }
        request_facts facts = makeFacts(resumed.id, resumed.account, *route, service_kind::Model, resumed.arrival);
        facts.waitUntil = facts.deadline; // the request was accepted by its first owner, so it may wait until its deadline and must not be shed
        facts.wasAccepted = true;
        facts.prefix = prefixKey(resumed.payload.prompt);
        facts.outputTokens = resumed.payload.maxTokens;
        facts.needsCopy = route->mustFinish && available();
        facts.alreadyDelivered = static_cast<std::uint32_t>(resumed.tokens.size());
        logEvent(log_event::TakenOver, {{"request", resumed.id}, {"from", resumed.owner}, {"pieces", resumed.tokens.size()}});
        const auto session = std::make_shared<request_session>(m_host, gateway::currentThread(), std::move(facts), std::move(resumed.payload));
        session->begin(resumed.tokens);
        session->markWithoutReaders();
    });
}

std::size_t copy_manager::heldCopyCount() const
{
    const std::lock_guard guard(m_lock);
    return m_heldCopies.size();
}

// ---- Reading an answer that another instance holds -------------------------------------------------------------------------------------

asio::awaitable<std::optional<std::string>> copy_manager::onFetch(std::string body)
{
    const json query = unpack(body);
    const std::string id = query.at("id");
    const std::string account = query.at("account");
    const std::uint32_t from = query.at("from");
    const time_point deadline = systemNow() + fetchPollTimeout;
    const auto session = m_host.find(id);
    if (session == nullptr || session->isHandedOver()) {
        bool isHeld = false;
        {
            const std::lock_guard guard(m_lock);
            const auto found = m_heldCopies.find(id);
            isHeld = found != m_heldCopies.end() && found->second.request.account == account;
        }
        const json notServedHere = {{"known", isHeld}, {"over", false}, {"failed", false}, {"failure", 0}, {"tokens", json::array()}};
        co_return pack(notServedHere);
    }
    const bool known = session->facts().account == account;
    const auto callingExecutor = co_await asio::this_coro::executor;
    co_await asio::dispatch(session->context().get_executor(), asio::use_awaitable);
    while (known && session->readable() <= from && !session->isOver() && systemNow() < deadline) {
        co_await session->waitForChangeUntil(deadline);
    }
    json tokens = json::array();
    std::size_t bytes = 0;
    std::uint32_t next = from;
    for (; known && next < session->readable() && bytes < maxReplyBytes; ++next) {
        tokens.push_back(std::string(session->token(next)));
        bytes += session->token(next).size();
    }
    const bool over = session->isOver() && (!known || next >= session->readable());
    json reply = {{"known", known}, {"over", over}, {"failed", session->failed()}, {"failure", static_cast<int>(session->failure())}};
    reply["tokens"] = std::move(tokens);
    co_await asio::dispatch(callingExecutor, asio::use_awaitable);
    co_return pack(reply);
}

asio::awaitable<remote_request_source::fetch_result> copy_manager::fetch(std::string requestId, std::string account, std::uint32_t from, time_point deadline)
{
    const std::string query = pack({{"id", requestId}, {"account", account}, {"from", from}});
    fetch_result newest;
    for (const member_info &peer : candidates(requestId)) {
        const std::optional<std::string> answer = co_await gateway::currentThread().peers.call(peer.peer, "/fetch", query, deadline);
        if (!answer) {
            continue;
        }
        const json value = unpack(*answer);
        if (!value.at("known").get<bool>()) {
            continue;
        }
        newest.found = true;
        newest.ended = value.at("over");
        newest.failed = value.at("failed");
        newest.failure = static_cast<error_kind>(value.at("failure").get<int>());
        newest.tokens = value.at("tokens").get<std::vector<std::string>>();
        if (newest.ended || !newest.tokens.empty()) {
            co_return newest;
        }
    }
    co_return newest;
}

} // namespace chicoryrouter
