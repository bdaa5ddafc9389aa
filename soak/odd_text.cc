#include "odd_text.h"

#include <stdio.h>

namespace
{

const size_t LONG_ONE_IN = 60;
const size_t LONG_MIN_BYTES = 100 * 1000;
const size_t LONG_MAX_BYTES = 900 * 1000; /* a message is at most 1 MiB */
const size_t PRINTED_MAX = 200;

/* The text of a C string literal with its NULs. */
template <size_t N> std::string bytes(const char (&literal)[N])
{
	return std::string(literal, N - 1);
}

/* clang-format off */
const std::string short_texts[] = {
	"\n", "\r", "a\nb", "a\rb", "a\r", "a\r\r", "\n\r", "a\n", "\n\n",
	" ", " a", "a ", " a  b ", "a\n ", "\xff\xfe\n", "|",
	"x\nQUERY 7 WRITE 1 y", "x\rQUERY 7 WRITE 1 y\r",
	"x\nQUERY 7 READ 1\n", "x\nQUERY - STATUS\n", "x\nTERMINATE\n",
	"\nSTARTUP orders mill", "COMMIT", "\nROLLBACK",
	"\nCOMPLETE 1.i-orders0", "\nCOMPLETE -\nREADY I -",
	"x\nCOMPLETE 1.i-orders0\nREADY I -\n", "\nREADY I -",
	"\nREADY E 1.1", "\nROW x", "\nERROR BUSY i-orders0",
	"\nERROR BUSY i-orders0\nREADY I -\n", "\nLOAD 5 -", "\nLEAVING",
	"\nHOP 1\nOP 1 2 3\n",
};

const std::string nul_texts[] = {
	bytes("\0"), bytes("a\0b"), bytes("a\0"), bytes("\0\0a\r"),
	bytes("a\0\nQUERY 7 WRITE 1 y"), bytes("a\0\nREADY I -\n\0"),
};
/* clang-format on */

const std::string long_piece = "0123456789 abcdef\nQUERY 7 WRITE 1 y\r\r";

template <size_t N>
const std::string &pick(const std::string (&texts)[N], size_t choice)
{
	return texts[choice % N];
}

} // namespace

std::string OddTexts::text(Nul nul)
{
	std::string out;

	if (!draw(LONG_ONE_IN))
		return nul == Nul::ALLOWED && draw(5) ?
			       pick(nul_texts, generator()) :
			       pick(short_texts, generator());
	out.reserve(LONG_MAX_BYTES);
	for (size_t n =
		     LONG_MIN_BYTES + random(LONG_MAX_BYTES - LONG_MIN_BYTES);
	     out.size() + long_piece.size() < n;)
		out += long_piece;
	return out;
}

std::string printable(const std::string &text)
{
	std::string out;

	for (char c : text.substr(0, PRINTED_MAX)) {
		char escaped[8];

		if (c == '\\' || c < ' ' || c > '~')
			snprintf(escaped, sizeof(escaped), "\\x%02x",
				 static_cast<unsigned char>(c));
		else
			snprintf(escaped, sizeof(escaped), "%c", c);
		out += escaped;
	}
	if (text.size() > PRINTED_MAX)
		out += "... (" + std::to_string(text.size()) + " bytes)";
	return out;
}
