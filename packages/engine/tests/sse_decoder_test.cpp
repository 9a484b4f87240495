#include "engine_json_p.h"
#include "generation_p.h"
#include "sse_decoder_p.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>
#include <vector>

namespace skylarkwind {

class sse_decoder_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(sse_decoder_test);
  CPPUNIT_TEST(PartsDoNotChangeTheEvents);
  CPPUNIT_TEST(DamagedStreamsNeverLookWhole);
  CPPUNIT_TEST(EndlessEventIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned kSeed = 20261204;

  static std::vector<std::string> Decode(const std::string& aText, std::mt19937* aRandom)
  {
    sse_decoder decoder;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < aText.size();) {
      auto size = aRandom == nullptr ? aText.size() : 1 + (*aRandom)() % 9;
      decoder.Feed(std::string_view{ aText }.substr(at, size),
                   [&](std::string_view aData) { events.emplace_back(aData); });
      at += size;
    }
    return events;
  }

  /// Guards against tokens that are lost or joined wrongly where the network splits the bytes.
  void PartsDoNotChangeTheEvents()
  {
    std::cout << " seed " << kSeed << ' ';
    std::mt19937 random{ kSeed };
    const std::vector<std::string> pieces{
      "data: a\n\n", "data:b\r\n\r\n", "data: c\rdata: d\r\r", ": note\n", "event: x\n",
      "\n",          "data\n\n",       "data: {\"t\":1}\n\n",  "id: 1\r\n"
    };
    for (int round = 0; round < 2'000; ++round) {
      std::string text;
      for (auto count = random() % 12; count > 0; --count) {
        text += pieces[random() % pieces.size()];
      }
      CPPUNIT_ASSERT(Decode(text, nullptr) == Decode(text, &random));
    }
    CPPUNIT_ASSERT(Decode("data: c\rdata: d\r\r", nullptr) == std::vector<std::string>{ "c\nd" });
    CPPUNIT_ASSERT(Decode("data: [DONE]\n", nullptr).empty());
  }

  /// Guards against a stream with a lost or damaged event that is reported as whole, or with
  /// offsets that do not fit the text.
  void DamagedStreamsNeverLookWhole()
  {
    std::cout << " seed " << kSeed << ' ';
    std::mt19937 random{ kSeed };
    for (int round = 0; round < 5'000; ++round) {
      std::string text;
      for (int offset = 1; offset <= 4; ++offset) {
        text += "data: {\"choices\":[{\"text\":\"w \"}],\"skylarkwind\":{\"offset\":" +
                std::to_string(offset) + "}}\n\n";
      }
      text += "data: [DONE]\n\n";
      bool cut = random() % 2 == 0;
      if (cut) {
        text.resize(random() % (text.size() - 1));
      } else {
        text[random() % text.size()] = static_cast<char>(random());
      }
      generation answer{ false, 0 };
      std::uint64_t offset = 0;
      for (std::size_t at = 0; at < text.size(); at += 13) {
        auto tokens = answer.Take(200, std::string_view{ text }.substr(at, 13));
        CPPUNIT_ASSERT(!tokens || tokens->mOffset > offset);
        offset = tokens ? tokens->mOffset : offset;
      }
      CPPUNIT_ASSERT(!cut || !answer.Done());
      CPPUNIT_ASSERT(!(answer.Done() && answer.Failed()));
    }
  }

  /// Guards against a peer that fills the daemon's memory with one event.
  void EndlessEventIsRefused()
  {
    sse_decoder decoder;
    const std::string part(1U << 16U, 'x');
    bool accepted = true;
    for (int count = 0; count < 128 && accepted; ++count) {
      accepted = decoder.Feed(part, [](std::string_view) {});
    }
    CPPUNIT_ASSERT(!accepted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sse_decoder_test);

} // namespace skylarkwind
