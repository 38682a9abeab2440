#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_fields/http_fields.h"
#include "rattanweir/request/exchange/header_fields.h"

#include <algorithm>
#include <string_view>

namespace rattanweir {
namespace {

constexpr std::string_view kConnectionFields[] = {
  "connection", "content-length",     "expect",
  "keep-alive", "proxy-authenticate", "proxy-authorization",
  "te",         "proxy-connection",   "trailer",
  "upgrade",    "transfer-encoding",
};

// Returns the field names listed in the Connection fields.
std::vector<std::string>
ConnectionOptions(const HeaderFields& aFields)
{
  std::vector<std::string> names;
  for (const HeaderField& field : aFields) {
    if (!IsSameHeaderName(field.m_name, "connection")) {
      continue;
    }
    std::string name;
    for (const char letter : field.m_value + ",") {
      if (letter == ',') {
        names.push_back(std::exchange(name, {}));
      } else if (letter != ' ' && letter != '\t') {
        name += letter;
      }
    }
  }
  return names;
}

} // namespace

void
DropConnectionFields(HeaderFields& aFields)
{
  const std::vector<std::string> connectionOptions = ConnectionOptions(aFields);
  std::erase_if(aFields, [&](const HeaderField& aField) {
    const auto matchesField = [&](std::string_view aName) {
      return IsSameHeaderName(aName, aField.m_name);
    };
    return std::ranges::any_of(kConnectionFields, matchesField) ||
           std::ranges::any_of(connectionOptions, matchesField);
  });
}

} // namespace rattanweir
