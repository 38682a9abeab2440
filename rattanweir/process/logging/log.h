// Structured logging: one record per line, as key=value pairs or as JSON. Used
// by both paths.
//
//   ConfigureLog(settings.m_log);
//   Log(LogLevel::Info, "request_done", { { "request", id.Value() } });
//
// Fields must not contain a caller's key, or a request or response body.
// Records are written to standard output, because an instance has no disk.
// Writing never blocks: a record is dropped if standard output would block, or
// if its event exceeds a rate limit. Both kinds of dropped records are counted
// in separate log records.
//
// Log is safe to call from any thread after ConfigureLog.

#pragma once

#include "rattanweir/process/settings/settings.h"

#include <chrono>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace rattanweir {

// One field of a record.
struct LogField
{
  std::string_view m_name;
  std::string m_value;
};

// Return a duration in whole milliseconds, or `none`.
std::string
MillisecondsText(std::chrono::nanoseconds aDuration);
std::string
MillisecondsText(const std::optional<std::chrono::nanoseconds>& aDuration);

// Sets the level and the format. Call once at startup, before other threads
// start. Until then, records of level Info and above are written as key=value
// pairs.
void
ConfigureLog(const LogSettings& aSettings);

// Writes one record if its level and the rate limit of its event permit.
// `aEvent` is a constant name in snake case.
void
Log(LogLevel aLevel,
    std::string_view aEvent,
    std::initializer_list<LogField> aFields = {});

// Returns the record that Log writes, without its time and, in JSON, without
// the braces. Exposed for tests.
std::string
FormatLogRecord(LogFormat aFormat,
                LogLevel aLevel,
                std::string_view aEvent,
                std::initializer_list<LogField> aFields);

} // namespace rattanweir
