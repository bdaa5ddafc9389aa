/* client.h - a caller: sessions with reads, writes and transactions. */
#ifndef SOAK_CLIENT_H
#define SOAK_CLIENT_H

#include "odd_text.h"
#include "operator.h"
#include "service.h"

struct ClientOptions {
	size_t number;
	uint64_t seed;
	size_t route; /* in `routes` */
	size_t workspace; /* in `workspaces` */
	bool floods; /* asks without a pause */
	Fleet *fleet;
	Operator *operator_;
	Service *service;
};

class Client
{
      public:
	explicit Client(const ClientOptions &options);
	~Client();

      private:
	struct Prepared {
		bool writes;
		std::string shape;
	};
	struct Session {
		explicit Session(int fd) : stream(fd)
		{
		}
		LineStream stream;
		int64_t id = 0;
		size_t instance = 0;
		std::string key;
		Texts values;
		std::map<std::string, Prepared> prepared;
		char state = 'I';
		bool open = true;
	};
	enum class Outcome { DONE, PROMISE, UNCLEAR };

	void run();
	void run_session();
	bool run_operation(Session *s);
	Outcome run_single(Session *s);
	Outcome run_transaction(Session *s);
	Outcome ask(Session *s, const std::string &text,
		    const std::shared_ptr<Unit> &u, const std::string &shape);
	Outcome read_answer(Session *s, const std::shared_ptr<Statement> &q);
	Outcome take_error(Session *s, const std::shared_ptr<Statement> &q,
			   std::string text);
	/* Statements that the instance answers itself. */
	bool control(Session *s, const std::string &text);
	/* An ERROR may come at any time; anything else answers nothing. */
	void check_silence(Session *s);
	void set(Session *s, const std::string &name, const std::string &value);
	void set_value(Session *s);
	void set_values_that_read_alike(Session *s);
	void prepare(Session *s);
	std::string maybe_odd(const std::string &plain, Nul nul);
	void note_broken(Session *s, const std::shared_ptr<Statement> &q);
	std::shared_ptr<Unit> new_unit(const Session &s, bool transaction,
				       bool writes);
	std::string make_statement(Session *s, bool may_write, bool *writes,
				   std::string *shape);
	std::string new_id();
	int64_t random(int64_t below);

	ClientOptions opts;
	uint64_t random_state;
	OddTexts odd_texts;
	int64_t count = 0;
	std::atomic<bool> ends{ false };
	std::thread thread;
};

#endif
