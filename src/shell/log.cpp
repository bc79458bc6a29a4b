// The log writer: rate limits, queue and writer thread, with easylogging++ as the output.
#include "shell/log.h"

#include "chicoryrouter/units.h"
#include "shell/clock.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

INITIALIZE_EASYLOGGINGPP // NOLINT

    namespace chicoryrouter
{

    namespace {

    constexpr std::size_t maxQueuedLines = 16384;
    constexpr std::size_t maxFieldBytes = 2000; // limit for each text field; longer texts are cut

    struct log_line
    {
        log_event event = log_event::LinesLeftOut;
        time_point time{};
        std::vector<log_field> fields;
    };

    // Limits the lines of one event in each second. Any thread, without a lock.
    class line_rate_limit
    {
    public:
        // Resets the counters when a new second has started. Returns the number of lines suppressed since the last reset, otherwise 0.
        std::uint32_t startSecond(time_point now)
        {
            const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
            std::int64_t storedSecond = m_second.load(std::memory_order_relaxed);
            const bool secondStarted = storedSecond != second && m_second.compare_exchange_strong(storedSecond, second, std::memory_order_relaxed);
            if (!secondStarted) {
                return 0;
            }
            m_lineCount.store(0, std::memory_order_relaxed);
            return m_suppressed.exchange(0, std::memory_order_relaxed);
        }

        bool tryAcquire(std::uint32_t maxLines)
        {
            if (m_lineCount.fetch_add(1, std::memory_order_relaxed) < maxLines) {
                return true;
            }
            m_suppressed.fetch_add(1, std::memory_order_relaxed);
            return false;
        }

    private:
        std::atomic<std::int64_t> m_second{0};
        std::atomic<std::uint32_t> m_lineCount{0};
        std::atomic<std::uint32_t> m_suppressed{0};
    };

    std::string toJson(const log_line &line)
    {
        const log_event_row &row = rowOf(line.event);
        nlohmann::ordered_json value;
        value["at"] = formatTimestampMs(line.time);
        value["level"] = toText(row.level);
        value["event"] = row.name;
        value["text"] = "[" + std::string(toText(row.part)) + "] " + std::string(row.text);
        for (const log_field &field : line.fields) {
            std::visit([&](const auto &fieldValue) { value[std::string(field.name)] = fieldValue; }, field.value);
        }
        return value.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }

    class log_writer
    {
    public:
        void start(log_level maxLevel, std::uint32_t linesPerSecond)
        {
            m_maxLevel = maxLevel;
            m_linesPerSecond = linesPerSecond;
            m_thread = std::thread([this] { run(); });
        }

        void setLevel(log_level maxLevel) { m_maxLevel = maxLevel; }

        void stop()
        {
            {
                const std::lock_guard guard(m_lock);
                m_stopping = true;
            }
            m_wake.notify_one();
            if (m_thread.joinable()) {
                m_thread.join();
            }
        }

        ~log_writer() { stop(); }

        [[nodiscard]] bool isEnabled(log_level level) const { return m_thread.joinable() && level <= m_maxLevel; }

        void enqueue(log_line line)
        {
            line_rate_limit &rateLimit = m_rateLimits.at(static_cast<std::size_t>(line.event));
            const std::uint32_t suppressedLines = rateLimit.startSecond(line.time);
            if (suppressedLines > 0) {
                m_suppressed += suppressedLines;
                log_line notice{log_event::LinesLeftOut, line.time, {}};
                notice.fields = {log_field("kind", rowOf(line.event).name), log_field("lines", suppressedLines)};
                push(std::move(notice));
            }
            if (rateLimit.tryAcquire(m_linesPerSecond)) {
                push(std::move(line));
            }
        }

        [[nodiscard]] unsigned long suppressed() const { return m_suppressed; }

        unsigned long dropped()
        {
            const std::lock_guard guard(m_lock);
            return m_dropped;
        }

    private:
        void push(log_line line)
        {
            {
                const std::lock_guard guard(m_lock);
                if (m_lines.size() >= maxQueuedLines) {
                    ++m_dropped;
                    return;
                }
                m_lines.push_back(std::move(line));
            }
            m_wake.notify_one();
        }

        void run()
        {
            std::unique_lock guard(m_lock);
            while (true) {
                m_wake.wait(guard, [this] { return m_stopping || !m_lines.empty(); });
                if (m_lines.empty()) {
                    return;
                }
                std::deque<log_line> batch;
                batch.swap(m_lines);
                guard.unlock();
                for (const log_line &line : batch) {
                    LOG(INFO) << toJson(line);
                }
                guard.lock();
            }
        }

        std::atomic<log_level> m_maxLevel{log_level::Info};
        std::atomic<std::uint32_t> m_linesPerSecond{0};
        std::array<line_rate_limit, static_cast<std::size_t>(log_event::Count)> m_rateLimits;
        std::atomic<unsigned long> m_suppressed{0};
        std::thread m_thread;
        std::mutex m_lock;
        std::condition_variable m_wake;
        std::deque<log_line> m_lines; // at most maxQueuedLines
        unsigned long m_dropped = 0;
        bool m_stopping = false;
    };

    log_writer &writer()
    {
        static log_writer instance;
        return instance;
    }

    log_line truncateFields(log_line line)
    {
        for (log_field &field : line.fields) {
            if (auto *text = std::get_if<std::string>(&field.value); text != nullptr && text->size() > maxFieldBytes) {
                text->resize(maxFieldBytes);
            }
        }
        return line;
    }

    log_level parseLevel(std::string_view level)
    {
        for (const log_level item : {log_level::Error, log_level::Warning, log_level::Debug}) {
            if (toText(item) == level) {
                return item;
            }
        }
        return log_level::Info;
    }

    } // namespace

    void startLog(std::string_view level, const std::string &file, unsigned linesPerSecond)
    {
        el::Configurations configuration;
        configuration.setToDefault();
        configuration.setGlobally(el::ConfigurationType::Format, "%msg");
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
        configuration.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
        if (!file.empty()) {
            configuration.setGlobally(el::ConfigurationType::Filename, file);
        }
        el::Loggers::reconfigureAllLoggers(configuration);
        writer().start(parseLevel(level), linesPerSecond);
    }

    void setLogLevel(std::string_view level)
    {
        writer().setLevel(parseLevel(level));
    }

    void stopLog()
    {
        writer().stop();
    }

    bool isLogged(log_event event)
    {
        return writer().isEnabled(rowOf(event).level);
    }

    void logEvent(log_event event, log_fields fields)
    {
        if (!isLogged(event)) {
            return;
        }
        writer().enqueue(truncateFields({event, systemNow(), fields}));
    }

    void logRequestEvent(log_event event, const std::string &request, log_fields fields)
    {
        if (!isLogged(event)) {
            return;
        }
        log_line line{event, systemNow(), {}};
        line.fields.reserve(fields.size() + 1);
        line.fields.emplace_back("request", request);
        line.fields.insert(line.fields.end(), fields);
        writer().enqueue(truncateFields(std::move(line)));
    }

    std::string logText(log_event event, log_fields fields)
    {
        std::string text = "[" + std::string(toText(rowOf(event).part)) + "] " + std::string(rowOf(event).text);
        for (const log_field &field : fields) {
            text += " " + std::string(field.name) + "=";
            if (const auto *word = std::get_if<std::string>(&field.value)) {
                text += *word;
            } else {
                std::visit([&](const auto &item) { text += nlohmann::json(item).dump(); }, field.value);
            }
        }
        return text;
    }

    unsigned long droppedLogLines()
    {
        return writer().dropped();
    }

    unsigned long suppressedLogLines()
    {
        return writer().suppressed();
    }

    std::string logEventsDocument()
    {
        std::string text = "# Log lines\n\nThe daemon writes one JSON object per line to standard output. Every line has `at` (UTC), `level`, `event` and "
                           "`text`: the part of the\n"
                           "daemon in brackets and a sentence that is the same for all lines of an event. The other fields hold the values. The setting\n"
                           "`log.lines_per_second` limits the lines of each event; lines over the limit are counted in `lines_left_out`.\n\n"
                           "This page is generated by `chicoryrouterd --list-events`.\n\n| event | level | text | fields |\n|---|---|---|---|\n";
        for (const log_event_row &row : logEvents()) {
            text += "| `" + std::string(row.name) + "` | " + std::string(toText(row.level)) + " | [" + std::string(toText(row.part)) + "] "
                + std::string(row.text) + " | " + std::string(row.fields) + " |\n";
        }
        return text;
    }

} // namespace chicoryrouter
