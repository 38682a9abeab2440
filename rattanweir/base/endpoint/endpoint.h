// The address of a TCP listener: an IPv4 address and a port.
//
//   const Endpoint endpoint = ParseEndpoint("127.0.0.1:8080");
//   std::string text = endpoint.ToString();
//
// Host names are not resolved: instances and backend servers are configured by
// IPv4 address.

#pragma once

#include <compare>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace rattanweir {

// Thrown for a text that is not a valid endpoint.
class EndpointError : public std::invalid_argument
{
public:
  using std::invalid_argument::invalid_argument;
};

struct Endpoint
{
  std::string m_address;
  std::uint16_t m_port = 0;

  // Returns `address:port`.
  std::string ToString() const;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Parses `address:port`. Port 0 is valid and lets a listener select a free
// port. Throws EndpointError.
Endpoint
ParseEndpoint(std::string_view aText);

} // namespace rattanweir
