#include "rattanweir/base/endpoint/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace rattanweir {

std::string
Endpoint::ToString() const
{
  return m_address + ":" + std::to_string(m_port);
}

Endpoint
ParseEndpoint(std::string_view aText)
{
  const EndpointError error(
    "'" + std::string(aText) +
    "' is not an IPv4 address and port such as 127.0.0.1:8080");
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    throw EndpointError(error);
  }
  Endpoint endpoint{ .m_address = std::string(aText.substr(0, colon)) };
  in_addr ignored{};
  if (inet_pton(AF_INET, endpoint.m_address.c_str(), &ignored) != 1) {
    throw EndpointError(error);
  }
  const std::string_view port = aText.substr(colon + 1);
  const auto parsed =
    std::from_chars(port.data(), port.data() + port.size(), endpoint.m_port);
  if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size()) {
    throw EndpointError(error);
  }
  return endpoint;
}

} // namespace rattanweir
