"""Translation between the product's types and the platform's protocol."""
