#include "programs/rattanweirctl/admin_commands.h"

#include "programs/rattanweirctl/admin_client.h"
#include "programs/rattanweirctl/text_form.h"
#include "rattanweir/base/json/json.h"
#include "rattanweir/base/result/result_code.h"

#include <json/value.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace rattanweir::ctl {
namespace {

bool
IsNeverNegative(const Json::Value& /*aResponse*/)
{
  return false;
}

bool
IsUnready(const Json::Value& aResponse)
{
  const Json::Value& ready = aResponse["ready"];
  return ready.isBool() && !ready.asBool();
}

// Returns whether the result of an explanation is a result code's name. The
// result of a request that would be served is a sentence.
bool
IsRefusal(const Json::Value& aResponse)
{
  const Json::Value& result = aResponse["result"];
  const auto results = AllResults();
  return result.isString() &&
         std::any_of(results.begin(), results.end(), [&](const auto& aInfo) {
           return aInfo.m_name == result.asString();
         });
}

struct AdminCommand
{
  std::string_view m_name;
  std::string_view m_method;
  std::string_view m_path;
  // Returns whether a response, a JSON object, reports a negative result.
  bool (*m_isNegative)(const Json::Value&);
};

constexpr AdminCommand kCommands[] = {
  { "status", "GET", "/status", &IsUnready },
  { "entries", "GET", "/entries", &IsNeverNegative },
  { "explain", "GET", "/explain", &IsRefusal },
  { "counters", "GET", "/counters", &IsNeverNegative },
  { "drain", "POST", "/drain", &IsNeverNegative },
};

constexpr unsigned kMinSuccess = 200;
constexpr unsigned kMinRedirect = 300;

const AdminCommand*
FindCommand(const std::string& aName)
{
  for (const AdminCommand& command : kCommands) {
    if (command.m_name == aName) {
      return &command;
    }
  }
  return nullptr;
}

// Percent-encodes all but the unreserved characters of RFC 3986.
std::string
EncodeValue(const std::string& aValue)
{
  constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : aValue) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    const auto code = static_cast<unsigned char>(character);
    encoded += { '%', kDigits[code >> 4U], kDigits[code & 0xFU] };
  }
  return encoded;
}

std::string
BuildExplainQuery(const CommandLine& aLine)
{
  if (aLine.m_route.empty() == aLine.m_path.empty()) {
    throw UsageError("explain requires exactly one of --route and --path");
  }
  const std::array<std::pair<std::string_view, const std::string&>, 9> fields{
    { { "route", aLine.m_route },
      { "host", aLine.m_host },
      { "path", aLine.m_path },
      { "model", aLine.m_model },
      { "client_account", aLine.m_clientAccount },
      { "prompt_tokens", aLine.m_promptTokens },
      { "prompt_parts", aLine.m_promptParts },
      { "method", aLine.m_method },
      { "body", aLine.m_body } }
  };
  std::string query;
  for (const auto& [name, value] : fields) {
    if (value.empty()) {
      continue;
    }
    query += query.empty() ? "?" : "&";
    query += std::string(name) + "=" + EncodeValue(value);
  }
  return query;
}

} // namespace

bool
IsAdminCommand(const std::string& aCommand)
{
  return FindCommand(aCommand) != nullptr;
}

ExitCode
RunAdminCommand(const CommandLine& aLine, std::ostream& aOut)
{
  const AdminCommand* command = FindCommand(aLine.m_command);
  if (command == nullptr) {
    throw UsageError("unknown command '" + aLine.m_command + "'");
  }
  if (!aLine.m_operands.empty()) {
    throw UsageError(aLine.m_command + ": unexpected operand '" +
                     aLine.m_operands.front() + "'");
  }
  std::string target(command->m_path);
  if (command->m_name == "explain") {
    target += BuildExplainQuery(aLine);
  }
  const AdminResponse response =
    SendAdminRequest({ .m_endpoint = aLine.m_admin,
                       .m_method = std::string(command->m_method),
                       .m_target = target,
                       .m_timeout = aLine.m_timeout });
  const std::optional<Json::Value> value = ParseJson(response.m_body);
  if (value && !aLine.m_asJson) {
    PrintAsText(*value, aOut);
  } else {
    aOut << response.m_body << "\n";
  }
  const bool isSuccess =
    response.m_status >= kMinSuccess && response.m_status < kMinRedirect;
  const bool isNegative =
    !isSuccess || (value && value->isObject() && command->m_isNegative(*value));
  return isNegative ? ExitCode::NegativeResult : ExitCode::Ok;
}

} // namespace rattanweir::ctl
