// The control strand's part in gossip: probes, gossip messages, calls from peers, and documents pulled from peers.
#include "chicoryrouter/compression.h"
#include "chicoryrouter/hash.h"
#include "shell/clock.h"
#include "shell/context_runner.h"
#include "shell/control.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chicoryrouter {

namespace asio = boost::asio;

namespace {
constexpr duration pullTimeout = std::chrono::seconds(2); // for pulling a document from a peer
} // namespace

asio::awaitable<void> control::pullDocument(std::string instance)
{
    const member_info *peer = m_clusterState.members().find(instance);
    std::optional<std::string> answer;
    if (peer != nullptr) {
        answer = co_await m_peers.call(peer->peer, "/document", "", systemNow() + pullTimeout);
    }
    m_pull.onPullEnded();
    const std::optional<std::string> bytes = answer ? decompressBytes(*answer, maxPeerBodyBytes) : std::nullopt;
    const std::optional<document_envelope> envelope = bytes ? decodeEnvelope(*bytes) : std::nullopt;
    if (envelope) {
        offerDocument(*envelope, instance);
    }
}

asio::awaitable<void> control::gossip()
{
    while (true) {
        co_await pause(m_settings.gossipInterval);
        for (probe &gossipProbe : m_clusterState.onTick(systemNow())) {
            asio::co_spawn(m_context, runProbe(std::move(gossipProbe)), logged_end("gossip probe"));
        }
    }
}

asio::awaitable<void> control::runProbe(probe gossipProbe)
{
    const time_point deadline = systemNow() + m_settings.gossipInterval * 2;
    bool answered = false;
    if (gossipProbe.relay.empty()) {
        answered = co_await exchangeGossip(gossipProbe.targetAddress, gossipProbe.target);
    } else {
        const std::string relayRequest = gossipProbe.target + "\n" + gossipProbe.targetAddress.ip + "\n" + std::to_string(gossipProbe.targetAddress.port);
        const std::optional<std::string> answer = co_await m_peers.call(gossipProbe.relayAddress, "/relay", relayRequest, deadline);
        answered = answer && *answer == "answered";
    }
    if (answered) {
        m_clusterState.members().onAnswered(gossipProbe.target, systemNow());
    } else if (gossipProbe.relay.empty()) {
        m_clusterState.members().onUnanswered(gossipProbe.target, systemNow());
    }
}

// Sends one gossip message and processes the reply. Returns true when `instance` itself replied, not another process at its address.
asio::awaitable<bool> control::exchangeGossip(address peerAddress, std::string instance)
{
    std::string message = m_clusterState.compose(instance, systemNow());
    const std::optional<std::string> answer = co_await m_peers.call(peerAddress, "/gossip", std::move(message), systemNow() + m_settings.gossipInterval * 2);
    if (!answer) {
        co_return false;
    }
    const gossip_result result = receiveGossip(*answer);
    const bool fromInstance = result.from == instance;
    co_return fromInstance;
}

// Merges one gossip message, applies its load reports, and pulls the peer's document if it is newer.
gossip_result control::receiveGossip(const std::string &message)
{
    gossip_result result = m_clusterState.receive(message, systemNow());
    applyLoadReports(result.loads);
    const bool hasDocument = m_clusterState.documents().current()->revision != 0;
    if (result.hasNewerDocument && m_pull.onNewerAdvertised(hasDocument, systemNow())) {
        asio::co_spawn(m_context, pullDocument(result.from), logged_end("pull of a document"));
    }
    return result;
}

asio::awaitable<std::optional<std::string>> control::onPeerCall(std::string path, std::string body)
{
    if (path == "/gossip") {
        const gossip_result result = receiveGossip(body);
        co_return result.accepted ? std::optional(m_clusterState.compose(result.from, systemNow())) : std::nullopt;
    }
    if (path == "/relay") {
        const auto first = body.find('\n');
        const auto second = body.find('\n', first + 1);
        if (first == std::string::npos || second == std::string::npos) {
            co_return std::nullopt;
        }
        const address targetAddress{body.substr(first + 1, second - first - 1), static_cast<std::uint16_t>(std::atoi(body.c_str() + second + 1))};
        const bool answered = co_await exchangeGossip(targetAddress, body.substr(0, first));
        co_return std::string(answered ? "answered" : "silent");
    }
    if (path == "/document") {
        co_return compressBytes(encodeEnvelope(m_clusterState.documentForPeers()));
    }
    if (path == "/instances") {
        const bool unchanged = body == std::to_string(hashBytes(m_instanceListText));
        if (m_instanceListText.empty()) {
            co_return std::nullopt;
        }
        co_return unchanged ? std::string() : m_instanceListText;
    }
    if (m_hooks.onPeerCall) {
        co_return co_await m_hooks.onPeerCall(std::move(path), std::move(body));
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<std::string>> askControl(control *controlStrand, std::string path, std::string body)
{
    if (controlStrand == nullptr) {
        co_return std::nullopt; // the daemon is still starting
    }
    co_return co_await asio::co_spawn(controlStrand->context(), controlStrand->onPeerCall(std::move(path), std::move(body)), asio::use_awaitable);
}

asio::awaitable<std::optional<std::string>> control::callPeer(address peerAddress, std::string path, std::string body, time_point deadline)
{
    co_return co_await m_peers.call(std::move(peerAddress), std::move(path), std::move(body), deadline);
}

} // namespace chicoryrouter
