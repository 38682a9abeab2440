#include "rattanweir/process/logging/log.h"

#include "rattanweir/process/logging/internal/line_writer.h"
#include "rattanweir/process/logging/internal/record_rate_limiter.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <json/writer.h>

#include <array>
#include <chrono>
#include <ctime>
#include <mutex>

#include <unistd.h>

namespace rattanweir {
namespace {

namespace logging = boost::log;

// Written once, before other threads start.
LogSettings&
CurrentSettings()
{
  static LogSettings settings;
  return settings;
}

std::string
DroppedLinesRecord(std::uint64_t aCount)
{
  const std::string count = std::to_string(aCount);
  return CurrentSettings().m_format == LogFormat::Json
           ? R"({"event":"log_lines_lost","count":)" + count + "}"
           : "event=log_lines_lost count=" + count;
}

// Writes records to standard output, and drops a record that would block.
class StandardOutputBackend
  : public logging::sinks::basic_formatted_sink_backend<char>
{
public:
  void consume(const logging::record_view& /*aRecord*/, // NOLINT
               const std::string& aLine)
  {
    const std::uint64_t droppedLines = m_writer.DroppedLines();
    if (droppedLines > m_reportedDroppedLines &&
        m_writer.Write(
          DroppedLinesRecord(droppedLines - m_reportedDroppedLines))) {
      m_reportedDroppedLines = droppedLines;
    }
    m_writer.Write(aLine);
  }

private:
  LineWriter m_writer{ STDOUT_FILENO };
  std::uint64_t m_reportedDroppedLines = 0;
};

using OutputSink = logging::sinks::synchronous_sink<StandardOutputBackend>;

std::string_view
LevelName(LogLevel aLevel)
{
  constexpr std::array<std::string_view, 4> kNames{
    "debug", "info", "warning", "error"
  };
  return kNames.at(static_cast<std::size_t>(aLevel));
}

std::string
QuoteIfNeeded(const std::string& aValue)
{
  const bool isPlain =
    !aValue.empty() &&
    aValue.find_first_of(" =\"\\\n\r\t") == std::string::npos;
  return isPlain ? aValue : Json::valueToQuotedString(aValue.c_str());
}

std::string
UtcTimeNow()
{
  using std::chrono::milliseconds;
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  const std::time_t seconds = sinceEpoch.count() / kMillisecondsPerSecond;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, sizeof "2026-01-01T00:00:00"> text{};
  std::strftime(text.data(), text.size(), "%FT%T", &utc);
  const std::string fraction = std::to_string(
    kMillisecondsPerSecond + sinceEpoch.count() % kMillisecondsPerSecond);
  return std::string(text.data()) + "." + fraction.substr(1) + "Z";
}

void
AddStandardOutputSink()
{
  logging::core::get()->add_sink(boost::make_shared<OutputSink>());
}

// Returns the process-wide logger. Adds its sink on first use.
logging::sources::logger_mt&
Logger()
{
  static logging::sources::logger_mt logger = [] {
    AddStandardOutputSink();
    return logging::sources::logger_mt();
  }();
  return logger;
}

std::string
FormatJson(LogLevel aLevel,
           std::string_view aEvent,
           std::initializer_list<LogField> aFields)
{
  const auto append = [](std::string& aText, const std::string& aValue) {
    aText += Json::valueToQuotedString(aValue.c_str());
  };
  std::string text = "\"level\":";
  append(text, std::string(LevelName(aLevel)));
  text += ",\"event\":";
  append(text, std::string(aEvent));
  for (const LogField& field : aFields) {
    text += ",";
    append(text, std::string(field.m_name));
    text += ":";
    append(text, field.m_value);
  }
  return text;
}

std::string
FormatKeyValue(LogLevel aLevel,
               std::string_view aEvent,
               std::initializer_list<LogField> aFields)
{
  std::string text = "level=";
  text += LevelName(aLevel);
  text += " event=";
  text += aEvent;
  for (const LogField& field : aFields) {
    text += " ";
    text += field.m_name;
    text += "=";
    text += QuoteIfNeeded(field.m_value);
  }
  return text;
}

void
WriteRecord(const LogSettings& aSettings, const std::string& aRecord)
{
  const std::string line =
    aSettings.m_format == LogFormat::Json
      ? "{\"time\":\"" + UtcTimeNow() + "\"," + aRecord + "}"
      : "time=" + UtcTimeNow() + " " + aRecord;
  BOOST_LOG(Logger()) << line;
}

// Returns nullopt if the event's rate limit is exceeded.
std::optional<AdmittedRecord>
AdmitRecord(std::string_view aEvent)
{
  static std::mutex mutex;
  static RecordRateLimiter limiter({});
  const std::lock_guard lock(mutex);
  return limiter.Admit(aEvent, SystemClock().SteadyNow());
}

} // namespace

std::string
MillisecondsText(std::chrono::nanoseconds aDuration)
{
  using std::chrono::duration_cast;
  return std::to_string(
    duration_cast<std::chrono::milliseconds>(aDuration).count());
}

std::string
MillisecondsText(const std::optional<std::chrono::nanoseconds>& aDuration)
{
  return aDuration ? MillisecondsText(*aDuration) : "none";
}

void
ConfigureLog(const LogSettings& aSettings)
{
  CurrentSettings() = aSettings;
}

std::string
FormatLogRecord(LogFormat aFormat,
                LogLevel aLevel,
                std::string_view aEvent,
                std::initializer_list<LogField> aFields)
{
  return aFormat == LogFormat::Json ? FormatJson(aLevel, aEvent, aFields)
                                    : FormatKeyValue(aLevel, aEvent, aFields);
}

void
Log(LogLevel aLevel,
    std::string_view aEvent,
    std::initializer_list<LogField> aFields)
{
  const LogSettings& settings = CurrentSettings();
  if (aLevel < settings.m_level) {
    return;
  }
  const auto admitted = AdmitRecord(aEvent);
  if (!admitted) {
    return;
  }
  if (admitted->m_suppressed > 0) {
    WriteRecord(
      settings,
      FormatLogRecord(settings.m_format,
                      LogLevel::Info,
                      "log_records_left_out",
                      { { "of", std::string(aEvent) },
                        { "count", std::to_string(admitted->m_suppressed) } }));
  }
  WriteRecord(settings,
              FormatLogRecord(settings.m_format, aLevel, aEvent, aFields));
}

} // namespace rattanweir
