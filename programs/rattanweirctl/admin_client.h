// Sends requests to the admin address of an instance.
//
//   const AdminResponse response =
//     SendAdminRequest({ .m_endpoint = admin,
//                        .m_method = "GET",
//                        .m_target = "/status" });

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"

#include <chrono>
#include <stdexcept>
#include <string>

namespace rattanweir::ctl {

// Thrown if no complete response was received; the message states the cause.
class AdminUnreachable : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

struct AdminRequest
{
  Endpoint m_endpoint;
  std::string m_method;
  // Path and query string.
  std::string m_target;
  std::chrono::nanoseconds m_timeout{ std::chrono::seconds(10) };
};

struct AdminResponse
{
  unsigned m_status = 0;
  std::string m_body;
};

// Blocks until the complete response is received or the timeout expires. Throws
// AdminUnreachable.
AdminResponse
SendAdminRequest(const AdminRequest& aRequest);

} // namespace rattanweir::ctl
