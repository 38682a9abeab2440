// Structured logs: one record a line, as key=value pairs or as JSON.
//
//   ConfigureLog(settings.m_log);
//   Log(LogLevel::Info, "request_done", { { "request", id.Value() } });
//
// Fields never hold a caller's key or a body. Records go to standard output,
// since an instance has no disk. Writing never waits: a record that its reader
// leaves no room for is lost, and so are those of an event that comes too
// often; both are counted in a record of their own. Safe from any thread once
// configured.

#pragma once

#include "rattanweir/process/settings/settings.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace rattanweir {

// One field of a record.
struct LogField
{
  std::string_view m_name;
  std::string m_value;
};

// Sets level and format. Called once when the process starts; before that
// records of level Info and above are written as key=value pairs.
void
ConfigureLog(const LogSettings& aSettings);

// Writes one record. `aEvent` is a fixed name in snake case.
void
Log(LogLevel aLevel,
    std::string_view aEvent,
    std::initializer_list<LogField> aFields = {});

// The line that Log writes, without its time. For Log and its test.
std::string
FormatLogRecord(LogFormat aFormat,
                LogLevel aLevel,
                std::string_view aEvent,
                std::initializer_list<LogField> aFields);

} // namespace rattanweir
