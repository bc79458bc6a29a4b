// Copies of requests at peers: keeps ours current at one peer, holds those of others, goes on with them when their owner is gone, and
// lets callers read at any entry instance what is held at another.
#pragma once

#include "chicoryrouter/membership.h"
#include "chicoryrouter/rcu_cell.h"
#include "shell/gateway.h"
#include "shell/request_host.h"
#include "shell/request_session.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicoryrouter {

class worker_pool;

// The members as request threads see them; published by the control strand.
struct peer_view
{
    std::string self;
    std::string ownFailureDomain;
    std::vector<member_info> livePeers; // without self
};

// A request as it travels between daemons.
struct request_snapshot
{
    std::string id;
    std::string owner; // instance that works on it
    std::string account;
    std::string route;
    time_point arrival{};
    request_payload payload;      // empty prompt: the receiver has it already
    std::uint32_t firstToken = 0; // index of tokens.front()
    std::vector<std::string> tokens;
    bool takeOver = false; // the receiver is to work on it from now on
};

std::string encodeSnapshot(const request_snapshot &snapshot);
std::optional<request_snapshot> decodeSnapshot(const std::string &bytes);

class copy_manager : public request_copier, public remote_request_source
{
public:
    copy_manager(request_host &host, gateway &front, worker_pool &workers);

    rcu_cell<peer_view> view;

    // ---- Ours, held elsewhere
    [[nodiscard]] bool available() const override;
    boost::asio::awaitable<bool> copy(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to) override;
    boost::asio::awaitable<bool> handOver(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to) override;
    void drop(const std::string &requestId) override;

    // ---- Others', held here. Handlers of the peer link, on any request thread
    boost::asio::awaitable<std::optional<std::string>> onCopy(std::string body);
    boost::asio::awaitable<std::optional<std::string>> onDrop(std::string body);
    boost::asio::awaitable<std::optional<std::string>> onFetch(std::string body);
    void takeOverFrom(const std::vector<std::string> &goneInstances); // any thread
    [[nodiscard]] std::size_t heldCopyCount() const;

    boost::asio::awaitable<fetch_result> fetch(std::string requestId, std::string account, std::uint32_t from, time_point deadline) override;

private:
    boost::asio::awaitable<bool> sendUpdate(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to, bool takeOver);
    boost::asio::awaitable<bool> sendSnapshot(const member_info &peer, request_snapshot snapshot);
    request_snapshot snapshotOf(const request_session &session, std::uint32_t from, std::uint32_t to, bool withPayload) const;
    std::vector<member_info> candidates(const std::string &requestId) const;
    void resumeRequest(request_snapshot snapshot);

    request_host &m_host;
    gateway &m_gateway;
    worker_pool &m_workers;
    mutable std::mutex m_lock;
    std::map<std::string, member_info> m_copyHolders;   // our requests -> who holds the copy
    std::map<std::string, request_snapshot> m_heldCopies; // others' requests, whole
};

} // namespace chicoryrouter
