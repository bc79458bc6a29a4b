// The log writer: rate limits, queue and writer thread. easylogging++ dispatches the lines, log_output writes them.
#include "shell/log.h"

#include "chicoryrouter/units.h"
#include "shell/clock.h"
#include "shell/log_output.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <iterator>
#include <mutex>
#include <new>
#include <optional>
#include <thread>
#include <utility>

INITIALIZE_EASYLOGGINGPP // NOLINT

    namespace chicoryrouter
{

    namespace {

    constexpr std::size_t maxQueuedBytes = 8 * 1024 * 1024;
    constexpr std::size_t maxBatchLines = 128;
    constexpr std::chrono::milliseconds stopTimeout{200}; // how long an output that takes nothing may delay the end of the process
    constexpr std::size_t maxFieldBytes = 2000;           // limit for each text field; longer texts are cut

    struct log_line
    {
        log_event event = log_event::LinesLeftOut;
        time_point time{};
        std::vector<log_field> fields;
    };

    // Approximate; counts the texts at their own size.
    std::size_t memoryOf(const log_line &line)
    {
        std::size_t bytes = sizeof(log_line) + line.fields.size() * sizeof(log_field);
        for (const log_field &field : line.fields) {
            const auto *text = std::get_if<std::string>(&field.value);
            bytes += text != nullptr ? text->size() : 0;
        }
        return bytes;
    }

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

    // The lines that easylogging++ dispatches, collected for one write.
    class line_collector : public el::LogDispatchCallback
    {
    public:
        std::string lines; // each ends in a newline

    protected:
        // Called from a destructor of easylogging++, where an exception would end the process.
        void handle(const el::LogDispatchData *data) noexcept override
        {
            try {
                // Either the whole line is added, or nothing.
                lines.reserve(lines.size() + data->logMessage()->message().size() + 1);
                lines += data->logMessage()->message();
                lines += '\n';
            } catch (const std::bad_alloc &) {
                return; // the caller sees that no line was added
            }
        }
    };

    // Makes easylogging++ hand its lines to the collector, instead of writing them itself.
    line_collector &installCollector()
    {
        el::Configurations configuration;
        configuration.setToDefault();
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
        configuration.setGlobally(el::ConfigurationType::ToFile, "false");
        el::Loggers::reconfigureAllLoggers(configuration);
        el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
        el::Helpers::installLogDispatchCallback<line_collector>("line_collector");
        return *el::Helpers::logDispatchCallback<line_collector>("line_collector");
    }

    // Lines taken from the queue for one write.
    struct log_batch
    {
        std::vector<log_line> lines;
        unsigned long lostBefore = 0; // lost lines that this batch reports
    };

    class log_writer
    {
    public:
        void start(log_level maxLevel, const std::string &file, std::uint32_t linesPerSecond)
        {
            m_maxLevel = maxLevel;
            m_linesPerSecond = linesPerSecond;
            m_collector = &installCollector();
            m_output.emplace(file);
            m_batch.lines.reserve(maxBatchLines);
            m_thread = std::thread([this] { run(); });
            m_running = true;
        }

        void setLevel(log_level maxLevel) { m_maxLevel = maxLevel; }

        // Returns false when the output did not take the queued lines in time: the thread is left behind, still blocked in its write.
        bool stop()
        {
            if (!m_running.exchange(false)) {
                return !m_leftBehind;
            }
            std::unique_lock guard(m_lock);
            m_stopping = true;
            m_wake.notify_one();
            const auto deadline = std::chrono::steady_clock::now() + stopTimeout;
            m_leftBehind = !m_endedSignal.wait_until(guard, deadline, [this] { return m_ended; });
            guard.unlock();
            if (m_leftBehind) {
                m_thread.detach();
            } else {
                m_thread.join();
            }
            return !m_leftBehind;
        }

        [[nodiscard]] bool isEnabled(log_level level) const { return m_running && level <= m_maxLevel; }

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
            const std::size_t bytes = memoryOf(line);
            {
                const std::lock_guard guard(m_lock);
                if (m_queuedBytes + bytes > maxQueuedBytes) {
                    ++m_dropped;
                    ++m_untold;
                    return;
                }
                m_lines.push_back(std::move(line));
                m_queuedBytes += bytes;
            }
            m_wake.notify_one();
        }

        void run()
        {
            while (takeBatch()) {
                try {
                    writeBatch();
                } catch (const std::bad_alloc &) {
                    countLost(m_batch.lines.size());
                }
            }
            const std::lock_guard guard(m_lock);
            m_ended = true;
            m_endedSignal.notify_one();
        }

        // Waits for lines. Returns false when the log stops and all lines are written. Allocates no memory.
        bool takeBatch()
        {
            m_batch.lines.clear();
            std::unique_lock guard(m_lock);
            m_wake.wait(guard, [this] { return m_stopping || !m_lines.empty(); });
            if (m_lines.empty()) {
                return false;
            }
            while (!m_lines.empty() && m_batch.lines.size() < maxBatchLines) {
                m_queuedBytes -= memoryOf(m_lines.front());
                m_batch.lines.push_back(std::move(m_lines.front()));
                m_lines.pop_front();
            }
            m_batch.lostBefore = m_untold;
            return true;
        }

        void writeBatch()
        {
            m_collector->lines.clear();
            const bool hasNotice = m_batch.lostBefore > 0 && append({log_event::LinesDropped, systemNow(), {log_field("lines", m_batch.lostBefore)}});
            unsigned long lost = 0;
            for (const log_line &line : m_batch.lines) {
                lost += append(line) ? 0 : 1;
            }
            lost += m_output->write(m_collector->lines);
            const bool noticeLost = hasNotice && lost > m_batch.lines.size(); // it is the first line: lost only when all are
            countLost(noticeLost ? lost - 1 : lost);
            if (hasNotice && !noticeLost) {
                const std::lock_guard guard(m_lock);
                m_untold -= m_batch.lostBefore;
            }
        }

        // Returns false when memory is short.
        bool append(const log_line &line)
        {
            const std::size_t sizeBefore = m_collector->lines.size();
            const std::string text = toJson(line); // not inside the statement below, which would dispatch an empty line after an exception
            LOG(INFO) << text;
            return m_collector->lines.size() > sizeBefore;
        }

        void countLost(unsigned long lines)
        {
            const std::lock_guard guard(m_lock);
            m_dropped += lines;
            m_untold += lines;
        }

        std::atomic<log_level> m_maxLevel{log_level::Info};
        std::atomic<std::uint32_t> m_linesPerSecond{0};
        std::array<line_rate_limit, static_cast<std::size_t>(log_event::Count)> m_rateLimits;
        std::atomic<unsigned long> m_suppressed{0};
        std::atomic<bool> m_running{false};
        bool m_leftBehind = false; // of the thread that stops the log
        std::thread m_thread;
        line_collector *m_collector = nullptr; // writer thread
        std::optional<log_output> m_output;    // writer thread
        log_batch m_batch;                     // writer thread

        std::mutex m_lock; // guards the members below
        std::condition_variable m_wake;
        std::condition_variable m_endedSignal;
        std::deque<log_line> m_lines;
        std::size_t m_queuedBytes = 0; // of m_lines, at most maxQueuedBytes
        unsigned long m_dropped = 0;
        unsigned long m_untold = 0; // of m_dropped, those that no line of the log has reported yet
        bool m_stopping = false;
        bool m_ended = false;
    };

    // Never destroyed: a thread that was left behind still uses it while the process ends.
    log_writer &writer()
    {
        static auto *const instance = new log_writer;
        return *instance;
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
        writer().start(parseLevel(level), file, linesPerSecond);
    }

    void setLogLevel(std::string_view level)
    {
        writer().setLevel(parseLevel(level));
    }

    bool stopLog()
    {
        return writer().stop();
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
