#ifndef ADAPTERS_CRYPTO_SODIUM_H
#define ADAPTERS_CRYPTO_SODIUM_H

#include "ports/crypto.h"

/**
 * crypto_sodium() - libsodium; one static object, never freed.
 *
 * Return: the port, or NULL if the library can't gather entropy.
 */
struct crypto *crypto_sodium(void);

#endif /* ADAPTERS_CRYPTO_SODIUM_H */
