#include "rattanweir/process/logging/log.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

#include <json/writer.h>

#include <array>
#include <chrono>
#include <ctime>
#include <iostream>

namespace rattanweir {
namespace {

namespace logging = boost::log;

using TextSink =
  logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

// Set once before the first thread starts.
LogSettings&
CurrentSettings()
{
  static LogSettings settings;
  return settings;
}

std::string_view
LevelName(LogLevel aLevel)
{
  constexpr std::array<std::string_view, 4> kNames{
    "debug", "info", "warning", "error"
  };
  return kNames.at(static_cast<std::size_t>(aLevel));
}

std::string
Quoted(const std::string& aValue)
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
AddStandardErrorSink()
{
  const auto sink = boost::make_shared<TextSink>();
  sink->locked_backend()->add_stream(
    boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  sink->locked_backend()->auto_flush(true);
  logging::core::get()->add_sink(sink);
}

// The one logger; its sink is added at the first record.
logging::sources::logger_mt&
Logger()
{
  static logging::sources::logger_mt logger = [] {
    AddStandardErrorSink();
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
    text += Quoted(field.m_value);
  }
  return text;
}

} // namespace

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
  const std::string record =
    FormatLogRecord(settings.m_format, aLevel, aEvent, aFields);
  const std::string line =
    settings.m_format == LogFormat::Json
      ? "{\"time\":\"" + UtcTimeNow() + "\"," + record + "}"
      : "time=" + UtcTimeNow() + " " + record;
  BOOST_LOG(Logger()) << line;
}

} // namespace rattanweir
