#include "skylarkwind/log.h"

#include "skylarkwind/line_writer.h"

#include <array>
#include <atomic>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/mutable_constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include <unistd.h>

#include <cstdio>
#include <iostream>
#include <string>

namespace skylarkwind {

namespace {

namespace blog = boost::log;

std::string_view
LevelName(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return "debug";
    case log_level::Info:
      return "info";
    case log_level::Warning:
      return "warning";
    case log_level::Error:
      return "error";
  }
  return "unknown";
}

std::string
EscapeJson(std::string_view aText)
{
  std::string out;
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      out.push_back('\\');
      out.push_back(character);
    } else if (code < 0x20) {
      std::array<char, 8> buffer{};
      std::snprintf(buffer.data(), buffer.size(), "\\u%04x", code);
      out += buffer.data();
    } else {
      out.push_back(character);
    }
  }
  return out;
}

/// Checked before a record is opened: Boost.Log's own filters run before the values of a record are
/// added and would never see its level.
std::atomic<log_level> sLeastLevel{ log_level::Info };

void
FormatRecord(log_format aFormat, const blog::record_view& aRecord, blog::formatting_ostream& aOut)
{
  const auto level = blog::extract<log_level>("Level", aRecord);
  const auto prefix = blog::extract<std::string>("Prefix", aRecord);
  const auto stamp = blog::extract<boost::posix_time::ptime>("TimeStamp", aRecord);
  const auto time = stamp ? boost::posix_time::to_iso_extended_string(stamp.get()) + "Z" : "";
  const auto text = aRecord[blog::expressions::smessage];
  const std::string message = text ? text.get() : "";
  const auto name = level ? LevelName(level.get()) : "info";
  const std::string part = prefix ? prefix.get() : "";
  if (aFormat == log_format::JsonLines) {
    aOut << R"({"time":")" << time << R"(","level":")" << name << R"(","part":")"
         << EscapeJson(part) << R"(","text":")" << EscapeJson(message) << "\"}";
  } else {
    aOut << time << ' ' << name << ' ' << part << ": " << message;
  }
}

/// Lines that tell of a stop or a fault, which must not be lost among those of requests.
line_priority
PriorityOf(const blog::record_view& aRecord)
{
  const auto level = blog::extract<log_level>("Level", aRecord);
  const auto prefix = blog::extract<std::string>("Prefix", aRecord);
  const bool urgent =
    (level && level.get() >= log_level::Warning) || (prefix && prefix.get() == "daemon");
  return urgent ? line_priority::Urgent : line_priority::Normal;
}

/// Passes formatted lines to a writer that never waits for its reader, except for Flush.
class bounded_backend : public blog::sinks::basic_formatted_sink_backend<char>
{
public:
  // NOLINTNEXTLINE(readability-identifier-naming): the library calls this name.
  void consume(const blog::record_view& aRecord, const string_type& aLine)
  {
    mWriter.Write(aLine, mClock.Now(), PriorityOf(aRecord));
  }

  void Flush(std::chrono::milliseconds aLimit) { mWriter.Flush(aLimit, mClock); }

private:
  system_clock_source mClock;
  line_writer mWriter{ STDOUT_FILENO, {} };
};

using bounded_sink = blog::sinks::synchronous_sink<bounded_backend>;

/// Set by StartLog for the bounded output.
boost::shared_ptr<bounded_sink> sBoundedSink;

template<class sink>
void
AddSink(const boost::shared_ptr<sink>& aSink, log_format aFormat)
{
  aSink->set_formatter([aFormat](const blog::record_view& aRecord, blog::formatting_ostream& aOut) {
    FormatRecord(aFormat, aRecord, aOut);
  });
  blog::core::get()->add_sink(aSink);
}

} // namespace

void
StartLog(const log_settings& aSettings)
{
  sLeastLevel = aSettings.mLevel;
  blog::core::get()->add_global_attribute("TimeStamp", blog::attributes::utc_clock());
  if (aSettings.mOutput == log_output::StandardOutputBounded) {
    sBoundedSink = boost::make_shared<bounded_sink>();
    AddSink(sBoundedSink, aSettings.mFormat);
    return;
  }
  using sink = blog::sinks::synchronous_sink<blog::sinks::text_ostream_backend>;
  auto backend = boost::make_shared<blog::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  backend->auto_flush(true);
  AddSink(boost::make_shared<sink>(backend), aSettings.mFormat);
}

void
SetLogLevel(log_level aLevel)
{
  sLeastLevel = aLevel;
}

void
Log(log_level aLevel, std::string_view aPrefix, std::string_view aText)
{
  if (aLevel < sLeastLevel) {
    return;
  }
  static thread_local blog::sources::logger sLogger;
  BOOST_LOG(sLogger) << blog::add_value("Level", aLevel)
                     << blog::add_value("Prefix", std::string{ aPrefix }) << aText;
}

void
FlushLog(std::chrono::milliseconds aLimit)
{
  if (sBoundedSink) {
    sBoundedSink->locked_backend()->Flush(aLimit);
  }
}

} // namespace skylarkwind
