/*
 * odd_text.h - texts of any bytes but CR LF, now and then in place of plain
 * words.
 */
#ifndef SOAK_ODD_TEXT_H
#define SOAK_ODD_TEXT_H

#include <random>
#include <string>

enum class Nul { NEVER, ALLOWED };

class OddTexts
{
      public:
	explicit OddTexts(uint64_t seed) : generator(seed)
	{
	}

	/* True once in `n` calls on average. */
	bool draw(size_t n)
	{
		return random(n) == 0;
	}
	/* Mostly short, at times some hundred kB. */
	std::string text(Nul nul);
	size_t random(size_t below)
	{
		return static_cast<size_t>(generator() % below);
	}

      private:
	std::mt19937_64 generator;
};

/* For reports: bytes that can't be read as \xNN, long texts abridged. */
std::string printable(const std::string &text);

#endif
