#include "transport/shut_down.h"

#include <sys/socket.h>

#include <string>

namespace lovagecleat::transport {

// When libsoup then closes the socket, the connection is reset: otherwise a
// client that is still sending could wait on a closed receive window for a
// minute.
void ShutDownSocket(GSocket* socket) {
  if (socket == nullptr || g_socket_is_closed(socket)) return;
  const linger reset_at_close{1, 0};
  setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset_at_close,
             sizeof(reset_at_close));
  g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void ShutDownConnection(SoupServerMessage* message) {
  ShutDownSocket(soup_server_message_get_socket(message));
}

void RespondAndShutDown(SoupServerMessage* message,
                        const BuiltInProblem& problem) {
  const std::string text = ProblemResponse(problem);
  GSocket* socket = soup_server_message_get_socket(message);
  g_socket_send(socket, text.data(), text.size(), nullptr, nullptr);
  ShutDownConnection(message);
  soup_server_message_set_status(message, problem.status, nullptr);
}

}  // namespace lovagecleat::transport
