#include "logging/event_log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <climits>
#include <cstdio>

namespace lovagecleat::logging {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kMaximumTextBytes = 512;

void AppendQuoted(std::string& line, std::string_view text) {
  line.push_back('"');
  for (const char character : text.substr(0, kMaximumTextBytes)) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line.push_back('\\');
      line.push_back(character);
    } else if (byte < 0x20 || byte >= 0x7f) {
      // Truncation may split a multi-byte character, and the text may be
      // invalid UTF-8, so bytes outside ASCII are escaped one by one.
      line.append("\\u00");
      line.push_back(kHexDigits[byte >> 4]);
      line.push_back(kHexDigits[byte & 15]);
    } else {
      line.push_back(character);
    }
  }
  line.push_back('"');
}

template <typename Number>
void AppendNumber(std::string& line, Number number) {
  std::array<char, 32> digits;
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), number);
  line.append(digits.data(), end);
}

void AppendDecimal(std::string& line, double number) {
  std::array<char, 48> digits;
  const int size = std::snprintf(digits.data(), digits.size(), "%.3f", number);
  line.append(digits.data(), static_cast<std::size_t>(std::max(size, 0)));
}

void AppendField(std::string& line, const Field& field) {
  line.push_back(',');
  AppendQuoted(line, field.name);
  line.push_back(':');
  std::visit(Overloaded{
                 [&](const std::string& text) { AppendQuoted(line, text); },
                 [&](std::int64_t number) { AppendNumber(line, number); },
                 [&](double number) { AppendDecimal(line, number); },
             },
             field.value);
}

// Buffers the lines of log4cxx until they can be written without blocking.
class BufferAppender final : public log4cxx::AppenderSkeleton {
 public:
  BufferAppender(int descriptor, std::size_t maximum_bytes)
      : descriptor_(descriptor), maximum_bytes_(maximum_bytes) {}

  bool HasSpaceFor(std::size_t bytes) const {
    return buffer_.size() + bytes <= maximum_bytes_;
  }

  void Flush() {
    while (!buffer_.empty()) {
      pollfd state{descriptor_, POLLOUT, 0};
      if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) return;
      // A writable pipe accepts PIPE_BUF bytes without blocking.
      const std::size_t size =
          std::min<std::size_t>(buffer_.size(), std::size_t{PIPE_BUF});
      const ssize_t written = write(descriptor_, buffer_.data(), size);
      if (written <= 0) return;
      buffer_.erase(0, static_cast<std::size_t>(written));
    }
  }

  void close() override {}
  bool requiresLayout() const override { return false; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) override {
    buffer_.append(event->getRenderedMessage());
    buffer_.push_back('\n');
  }

 private:
  int descriptor_;
  std::size_t maximum_bytes_;
  std::string buffer_;
};

}  // namespace

class EventLog::State {
 public:
  State(const Clock& clock, std::string host, int descriptor,
        const EventLogLimits& limits)
      : clock_(clock),
        host_(std::move(host)),
        limits_(limits),
        tokens_(limits.burst_lines),
        refilled_at_(clock.Now()),
        appender_(std::make_shared<BufferAppender>(descriptor,
                                                   limits.buffered_bytes)),
        logger_(log4cxx::Logger::getLogger("events")) {
    logger_->setAdditivity(false);
    logger_->setLevel(log4cxx::Level::getInfo());
    logger_->removeAllAppenders();
    logger_->addAppender(appender_);
  }

  ~State() {
    appender_->Flush();
    logger_->removeAppender(appender_);
  }

  void Write(std::string_view event, std::string_view request,
             std::initializer_list<Field> fields) {
    if (!TakeToken()) {
      ++dropped_lines_;
      ++dropped_since_last_line_;
      return;
    }
    std::string line = Format(event, request, fields);
    if (!appender_->HasSpaceFor(line.size() + 1)) {
      ++dropped_lines_;
      ++dropped_since_last_line_;
      return;
    }
    dropped_since_last_line_ = 0;
    logger_->info(line);
  }

  void Flush() { appender_->Flush(); }
  std::uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  bool TakeToken() {
    const TimePoint now = clock_.Now();
    const double seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    tokens_ = std::min(limits_.burst_lines,
                       tokens_ + seconds * limits_.lines_per_second);
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

  std::string Format(std::string_view event, std::string_view request,
                     std::initializer_list<Field> fields) const {
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_.WallNow().time_since_epoch());
    std::string line = "{\"unix_ms\":";
    AppendNumber(line, static_cast<std::int64_t>(wall.count()));
    AppendField(line, {"host", host_});
    AppendField(line, {"event", event});
    if (!request.empty()) AppendField(line, {"request", request});
    for (const Field& field : fields) AppendField(line, field);
    if (dropped_since_last_line_ > 0)
      AppendField(line, {"lines_left_out", dropped_since_last_line_});
    line.push_back('}');
    return line;
  }

  const Clock& clock_;
  std::string host_;
  EventLogLimits limits_;
  double tokens_;
  TimePoint refilled_at_;
  std::uint64_t dropped_lines_ = 0;
  std::uint64_t dropped_since_last_line_ = 0;
  std::shared_ptr<BufferAppender> appender_;
  log4cxx::LoggerPtr logger_;
};

EventLog::EventLog(const Clock& clock, std::string host, int descriptor,
                   const EventLogLimits& limits)
    : state_(std::make_unique<State>(clock, std::move(host), descriptor,
                                     limits)) {}

EventLog::~EventLog() = default;

void EventLog::Write(std::string_view event, std::string_view request,
                     std::initializer_list<Field> fields) {
  state_->Write(event, request, fields);
}

void EventLog::Flush() { state_->Flush(); }

std::uint64_t EventLog::dropped_lines() const {
  return state_->dropped_lines();
}

}  // namespace lovagecleat::logging
