/* link.h - forwards connections, and delays, resets or silences them. */
#ifndef SOAK_LINK_H
#define SOAK_LINK_H

#include "net.h"

class Link
{
      public:
	explicit Link(Address to);

	Address address() const
	{
		return server.address();
	}

	/* New and open connections carry nothing while this is set. */
	std::atomic<bool> silent_to_target{ false };
	std::atomic<bool> silent_to_caller{ false };
	std::atomic<int64_t> delay_us{ 0 }; /* of each piece */

	void reset_connections()
	{
		server.reset_connections();
	}

	/* Those open now stay open and carry no byte more. */
	void silence_open_connections()
	{
		silenced_us = now_us();
	}

      private:
	void forward(int caller);
	bool move_bytes(int from, int to) const;

	Address target;
	std::atomic<int64_t> silenced_us{ 0 };
	Server server; /* last: its threads use the fields above */
};

#endif
