// Asks the admin side of one instance.
//
//   const AdminResponse answer = AskAdmin({ .m_endpoint = admin,
//                                         .m_method = "GET",
//                                         .m_target = "/status" });

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"

#include <chrono>
#include <stdexcept>
#include <string>

namespace rattanweir::ctl {

// No whole answer came; the message says why.
class AdminUnreachable : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

struct AdminRequest
{
  Endpoint m_endpoint;
  std::string m_method;
  // Path and query.
  std::string m_target;
  std::chrono::nanoseconds m_timeout{ std::chrono::seconds(10) };
};

struct AdminResponse
{
  unsigned m_status = 0;
  std::string m_body;
};

// Waits for the whole answer, at most the timeout. Throws AdminUnreachable.
AdminResponse
SendAdminRequest(const AdminRequest& aRequest);

} // namespace rattanweir::ctl
