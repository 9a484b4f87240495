#include "skylarkwind/sse_splitter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace skylarkwind {

class sse_splitter_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(sse_splitter_test);
  CPPUNIT_TEST(FragmentationDoesNotChangeTheOutput);
  CPPUNIT_TEST(IncompleteEventIsWithheld);
  CPPUNIT_TEST(IdIsThatOfTheLastCompleteEvent);
  CPPUNIT_TEST(CommentsAreNotEvents);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against bytes that are lost, duplicated or reordered when a stream arrives in arbitrary
  /// fragments.
  void FragmentationDoesNotChangeTheOutput()
  {
    const bool holds = rc::check("any fragmentation gives the same bytes", [] {
      std::string stream;
      const auto events = *rc::gen::inRange(0, 12);
      for (int id = 1; id <= events; ++id) {
        const bool crlf = *rc::gen::arbitrary<bool>();
        const std::string end = crlf ? "\r\n" : "\n";
        for (const auto& piece :
             { "id: " + std::to_string(id), end, std::string{ "data: text" }, end, end }) {
          stream += piece;
        }
      }
      sse_splitter splitter;
      std::string output;
      std::size_t at = 0;
      while (at < stream.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 40);
        const auto fragment = stream.substr(at, size);
        output += splitter.Feed(fragment);
        at += fragment.size();
      }
      RC_ASSERT(output == stream);
      RC_ASSERT(splitter.Events() == static_cast<std::size_t>(events));
      RC_ASSERT(splitter.LastId() == (events == 0 ? "" : std::to_string(events)));
      RC_ASSERT(splitter.Incomplete().empty());
    });
    CPPUNIT_ASSERT(holds);
  }

  /// Guards against a resumed stream that repeats the beginning of an event.
  void IncompleteEventIsWithheld()
  {
    sse_splitter splitter;
    CPPUNIT_ASSERT_EQUAL(std::string{ "id: 1\ndata: a\n\n" },
                         std::string{ splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") });
    CPPUNIT_ASSERT_EQUAL(std::string{ "id: 2\nda" }, std::string{ splitter.Incomplete() });
    splitter.DiscardIncomplete();
    CPPUNIT_ASSERT_EQUAL(std::string{ "id: 2\ndata: b\n\n" },
                         std::string{ splitter.Feed("id: 2\ndata: b\n\n") });
  }

  void IdIsThatOfTheLastCompleteEvent()
  {
    sse_splitter splitter;
    splitter.Feed("id:7\n\nid: 9\ndata: x");
    CPPUNIT_ASSERT_EQUAL(std::string{ "7" }, splitter.LastId());
  }

  /// Guards against stalled streams that are considered live because they still send comments.
  void CommentsAreNotEvents()
  {
    sse_splitter splitter;
    CPPUNIT_ASSERT_EQUAL(std::string{ ": x\n\n" }, std::string{ splitter.Feed(": x\n\n") });
    splitter.Feed("\n\n: a\n: b\n\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, splitter.Events());
    splitter.Feed(": a\ndata: x\n\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, splitter.Events());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sse_splitter_test);

} // namespace skylarkwind
