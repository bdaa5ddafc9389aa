#include "sql.h"

#include <apr_strings.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum token_kind { TOKEN_END, TOKEN_WORD, TOKEN_LITERAL, TOKEN_PARAM, TOKEN_OP };

/* Reads one token ahead. */
struct parser {
	const char *at;
	apr_pool_t *pool;
	enum token_kind kind;
	const char *text;
	bool failed;
};

static void read_word(struct parser *p)
{
	const char *start = p->at;
	char *c;

	while (isalnum((unsigned char)*p->at) || *p->at == '_')
		p->at++;
	p->kind = TOKEN_WORD;
	c = apr_pstrmemdup(p->pool, start, (apr_size_t)(p->at - start));
	p->text = c;
	for (; *c; c++)
		*c = (char)tolower((unsigned char)*c);
}

static void read_number(struct parser *p, enum token_kind kind)
{
	const char *start = p->at;

	while (isdigit((unsigned char)*p->at) || *p->at == '.')
		p->at++;
	p->kind = kind;
	p->text = apr_pstrmemdup(p->pool, start, (apr_size_t)(p->at - start));
}

static void read_string(struct parser *p)
{
	char *out = apr_palloc(p->pool, strlen(p->at) + 1);

	p->kind = TOKEN_LITERAL;
	p->text = out;
	for (p->at++; *p->at; p->at++) {
		if (*p->at == '\'' && *++p->at != '\'')
			break;
		*out++ = *p->at;
	}
	*out = '\0';
}

static void read_op(struct parser *p)
{
	size_t size = strchr("<>", *p->at) && p->at[1] == '=' ? 2 : 1;

	p->kind = TOKEN_OP;
	p->text = apr_pstrmemdup(p->pool, p->at, size);
	p->at += size;
}

static void advance(struct parser *p)
{
	while (isspace((unsigned char)*p->at))
		p->at++;
	if (!*p->at) {
		p->kind = TOKEN_END;
		p->text = "";
	} else if (*p->at == '\'') {
		read_string(p);
	} else if (*p->at == '$') {
		p->at++;
		read_number(p, TOKEN_PARAM);
	} else if (isdigit((unsigned char)*p->at)) {
		read_number(p, TOKEN_LITERAL);
	} else if (isalpha((unsigned char)*p->at) || *p->at == '_') {
		read_word(p);
	} else {
		read_op(p);
	}
}

static bool is(const struct parser *p, const char *text)
{
	return (p->kind == TOKEN_WORD || p->kind == TOKEN_OP) &&
	       !strcmp(p->text, text);
}

static bool accept_word(struct parser *p, const char *text)
{
	if (!is(p, text))
		return false;
	advance(p);
	return true;
}

static void expect(struct parser *p, const char *text)
{
	if (!accept_word(p, text))
		p->failed = true;
}

static const char *expect_word(struct parser *p)
{
	const char *word = p->text;

	if (p->kind != TOKEN_WORD)
		p->failed = true;
	advance(p);
	return word;
}

static void parse_cast(struct parser *p)
{
	if (!accept_word(p, ":"))
		return;
	expect(p, ":");
	expect_word(p);
}

static struct sql_operand parse_operand(struct parser *p)
{
	struct sql_operand o = { 0 };
	bool negative = accept_word(p, "-");

	if (p->kind == TOKEN_PARAM)
		o.param = (uint32_t)strtoul(p->text, NULL, 10);
	else if (p->kind == TOKEN_LITERAL)
		o.text = negative ? apr_pstrcat(p->pool, "-", p->text, NULL) :
				    p->text;
	else if (!is(p, "null"))
		p->failed = true;
	if (p->kind == TOKEN_PARAM && o.param == 0)
		p->failed = true;
	advance(p);
	parse_cast(p);
	return o;
}

static enum sql_compare parse_compare(struct parser *p)
{
	static const char *const texts[] = { "=", ">=", "<=", ">", "<" };

	for (uint32_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		if (accept_word(p, texts[i]))
			return (enum sql_compare)i;
	p->failed = true;
	return SQL_EQ;
}

static void parse_where(struct parser *p, struct sql_statement *st)
{
	if (!accept_word(p, "where"))
		return;
	do {
		struct sql_term *t = &st->terms[st->term_count];

		t->column = expect_word(p);
		t->compare = parse_compare(p);
		t->operand = parse_operand(p);
		if (++st->term_count == SQL_TERMS_MAX)
			p->failed = true;
	} while (!p->failed && accept_word(p, "and"));
}

static void parse_columns(struct parser *p, struct sql_statement *st)
{
	do {
		st->columns[st->column_count] = expect_word(p);
		if (++st->column_count == SQL_COLUMNS_MAX)
			p->failed = true;
	} while (!p->failed && accept_word(p, ","));
}

static void parse_operands(struct parser *p, struct sql_statement *st)
{
	expect(p, "(");
	if (accept_word(p, ")"))
		return;
	do {
		st->operands[st->operand_count] = parse_operand(p);
		if (++st->operand_count == SQL_COLUMNS_MAX)
			p->failed = true;
	} while (!p->failed && accept_word(p, ","));
	expect(p, ")");
}

static void parse_begin(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_BEGIN;
	accept_word(p, "transaction");
	if (accept_word(p, "read")) {
		st->read_only = is(p, "only");
		advance(p);
	}
}

static void parse_commit(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_COMMIT;
}

static void parse_rollback(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_ROLLBACK;
}

static void parse_set(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_SET;
	while (p->kind != TOKEN_END)
		advance(p);
}

static void parse_from(struct parser *p, struct sql_statement *st)
{
	expect(p, "from");
	st->name = expect_word(p);
	if (is(p, "(")) {
		st->kind = SQL_FUNCTION;
		parse_operands(p, st);
	} else {
		parse_where(p, st);
	}
}

static void parse_count(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_COUNT;
	expect(p, "(");
	expect(p, "*");
	expect(p, ")");
	parse_from(p, st);
}

static void parse_select(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_SELECT;
	if (p->kind == TOKEN_LITERAL) {
		st->kind = SQL_CONSTANT;
		st->operands[st->operand_count++] = parse_operand(p);
		return;
	}
	if (accept_word(p, "*")) {
		parse_from(p, st);
		return;
	}
	if (accept_word(p, "count")) {
		parse_count(p, st);
		return;
	}
	parse_columns(p, st);
	if (is(p, "(") && st->column_count == 1) {
		st->kind = SQL_FUNCTION;
		st->name = st->columns[0];
		st->column_count = 0;
		parse_operands(p, st);
		return;
	}
	parse_from(p, st);
}

static void parse_insert(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_INSERT;
	expect(p, "into");
	st->name = expect_word(p);
	expect(p, "(");
	parse_columns(p, st);
	expect(p, ")");
	expect(p, "values");
	parse_operands(p, st);
	if (st->column_count != st->operand_count)
		p->failed = true;
}

static void parse_update(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_UPDATE;
	st->name = expect_word(p);
	expect(p, "set");
	do {
		struct sql_assignment *a;

		a = &st->assignments[st->assignment_count];
		a->column = expect_word(p);
		expect(p, "=");
		if (is(p, a->column)) {
			advance(p);
			a->sign = is(p, "-") ? '-' : '+';
			if (!is(p, "-") && !is(p, "+"))
				p->failed = true;
			advance(p);
		}
		a->operand = parse_operand(p);
		if (++st->assignment_count == SQL_TERMS_MAX)
			p->failed = true;
	} while (!p->failed && accept_word(p, ","));
	parse_where(p, st);
}

static void parse_delete(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_DELETE;
	expect(p, "from");
	st->name = expect_word(p);
	parse_where(p, st);
}

static const struct verb {
	const char *word;
	void (*parse)(struct parser *p, struct sql_statement *st);
} verbs[] = {
	{ "begin", parse_begin },    { "commit", parse_commit },
	{ "end", parse_commit },     { "rollback", parse_rollback },
	{ "abort", parse_rollback }, { "set", parse_set },
	{ "select", parse_select },  { "insert", parse_insert },
	{ "update", parse_update },  { "delete", parse_delete },
};

struct sql_statement *sql_parse(const char *text, apr_pool_t *pool)
{
	struct sql_statement *st = apr_pcalloc(pool, sizeof(*st));
	struct parser p = { .at = text, .pool = pool };

	advance(&p);
	if (p.kind == TOKEN_END)
		return st;
	p.failed = true;
	for (uint32_t i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++) {
		if (!accept_word(&p, verbs[i].word))
			continue;
		p.failed = false;
		verbs[i].parse(&p, st);
		break;
	}
	accept_word(&p, ";");
	return p.failed || p.kind != TOKEN_END ? NULL : st;
}

bool sql_writes(const struct sql_statement *st)
{
	return st->kind == SQL_INSERT || st->kind == SQL_UPDATE ||
	       st->kind == SQL_DELETE;
}
