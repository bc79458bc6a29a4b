// An endpoint below HTTP: accepts connections and lets the test's own function read and write their bytes, each on a thread of its own.
#pragma once

#include "chicoryrouter/bounded_counter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <sstream>
#include <string>
#include <thread>

namespace chicoryrouter::test {

class raw_endpoint
{
public:
    using conversation = std::function<void(boost::asio::ip::tcp::socket &)>; // one connection; it is closed when this returns

    explicit raw_endpoint(conversation talk)
        : m_talk(std::move(talk))
        , m_acceptor(m_context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_accepting([this] { accept(); })
    {
    }

    // The other side must have closed its connections, or a conversation must end by itself.
    ~raw_endpoint()
    {
        m_stopping = true;
        boost::asio::ip::tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_accepting.join();
        wake.close(ignored);
        for (std::thread &item : m_talking) {
            item.join();
        }
    }

    raw_endpoint(const raw_endpoint &) = delete;
    raw_endpoint &operator=(const raw_endpoint &) = delete;

    [[nodiscard]] std::string entry(const std::string &service) const
    {
        return R"({"Service":")" + service + R"(","Address":"127.0.0.1:)" + std::to_string(m_acceptor.local_endpoint().port())
            + R"(","Zone":"west-1","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"Sequence":1})";
    }

    [[nodiscard]] bool isStopping() const { return m_stopping; }
    [[nodiscard]] std::size_t open() const { return m_open; } // connections

private:
    void accept()
    {
        while (!m_stopping) {
            auto socket = std::make_shared<boost::asio::ip::tcp::socket>(m_acceptor.accept());
            m_talking.emplace_back([this, socket] {
                const scoped_count counted(m_open);
                m_talk(*socket);
                boost::system::error_code ignored;
                socket->close(ignored);
            });
        }
    }

    conversation m_talk;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_open{0};
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::thread> m_talking;
    std::thread m_accepting; // last: it uses the others
};

// One chunk of a chunked body.
inline std::string chunkOf(const std::string &bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

// The next request's head with its empty line, for requests without a body; empty when the other side closed.
inline std::string readRequestHead(boost::asio::ip::tcp::socket &socket)
{
    std::string text;
    boost::system::error_code code;
    const std::size_t size = boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", code);
    return code ? std::string() : text.substr(0, size);
}

// The value of a header in a head as read; empty when absent.
inline std::string headerIn(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    const std::size_t from = at + 4 + name.size();
    return at == std::string::npos ? std::string() : head.substr(from, head.find("\r\n", from) - from);
}

} // namespace chicoryrouter::test
