// copy_manager: copies of requests at peers. Keeps a copy of each of this daemon's requests up to date at one peer, holds copies for other
// daemons, resumes those requests when their owner is gone, and lets callers of any instance read an answer that another instance holds.
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

// The cluster members as request threads see them; published by the control strand.
struct peer_view
{
    std::string self;
    std::string ownFailureDomain;
    std::vector<member_info> livePeers; // all members that are not Dead, except this one
};

// A request as it is sent between daemons.
struct request_snapshot
{
    std::string id;
    std::string owner; // the instance that works on the request
    std::string account;
    std::string route;
    time_point arrival{};
    request_payload payload;      // an empty prompt means that the receiver already has the payload
    std::uint32_t firstToken = 0; // index of tokens.front()
    std::vector<std::string> tokens;
    bool takeOver = false; // the receiver must work on the request from now on
};

// A copy of another daemon's request.
struct held_copy
{
    explicit held_copy(std::shared_ptr<byte_pool> pool)
        : bytes(std::move(pool))
    {
    }

    request_snapshot request; // with its payload and all tokens from the first
    time_point forgetAt{};    // unless there is an update before: the owner's drop may have been lost
    byte_share bytes;
};

std::string encodeSnapshot(const request_snapshot &snapshot);
std::optional<request_snapshot> decodeSnapshot(const std::string &bytes);

class copy_manager : public request_copier, public remote_request_source
{
public:
    copy_manager(request_host &host, gateway &front, worker_pool &workers);

    rcu_cell<peer_view> view;

    // ---- Copies of this daemon's requests, held by peers
    [[nodiscard]] bool available() const override;
    boost::asio::awaitable<bool> copy(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to) override;
    boost::asio::awaitable<bool> handOver(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to) override;
    void drop(const std::string &requestId) override;

    // ---- Copies of other daemons' requests, held here. The on...() functions handle messages of the peer link, on any request thread
    boost::asio::awaitable<std::optional<std::string>> onCopy(std::string body);
    boost::asio::awaitable<std::optional<std::string>> onDrop(std::string body);
    boost::asio::awaitable<std::optional<std::string>> onFetch(std::string body);
    void takeOverFrom(const std::vector<std::string> &goneInstances); // any thread; resumes the held requests of these instances
    [[nodiscard]] std::size_t heldCopyCount() const;

    boost::asio::awaitable<fetch_result> fetch(std::string requestId, std::string account, std::uint32_t from, time_point deadline) override;

private:
    boost::asio::awaitable<bool> sendUpdate(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to, bool takeOver);
    boost::asio::awaitable<bool> sendSnapshot(const member_info &peer, request_snapshot snapshot);
    request_snapshot snapshotOf(const request_session &session, std::uint32_t from, std::uint32_t to, bool withPayload) const;
    std::vector<member_info> candidates(const std::string &requestId) const;
    void resumeRequest(request_snapshot snapshot);
    void forgetExpiredCopies(time_point now); // call with the lock held

    request_host &m_host;
    gateway &m_gateway;
    worker_pool &m_workers;
    mutable std::mutex m_lock;
    std::map<std::string, member_info> m_copyHolders; // id of a request of this daemon -> the peer that holds its copy
    std::map<std::string, held_copy> m_heldCopies;    // by request id
    time_point m_nextExpiry{};                        // when to look for copies to forget
};

} // namespace chicoryrouter
